package org.lentilhinge.host;

import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingNumber;
import org.lentilhinge.lease.FencingSequence;
import org.lentilhinge.lease.FencingVerdict;
import org.lentilhinge.placement.EndpointCommand;
import org.lentilhinge.placement.PlacementCommand;
import org.lentilhinge.placement.PlacementReason;
import org.lentilhinge.placement.PlacementScheduler;

/** Executes placement decisions: orders to the engines and replies to the gateways. */
final class EngineOrders {

  private final FencingSequence fencing;
  private final PlacementScheduler scheduler;
  private final OwnedEngines owned;
  private final GrantReplies replies;
  private final long orderFlightMillis;

  EngineOrders(
      FencingSequence fencing,
      PlacementScheduler scheduler,
      OwnedEngines owned,
      GrantReplies replies,
      long orderFlightMillis) {
    this.fencing = fencing;
    this.scheduler = scheduler;
    this.owned = owned;
    this.replies = replies;
    this.orderFlightMillis = orderFlightMillis;
  }

  void carryOut(List<EndpointCommand> decided, long nowMillis, List<HostCommand> commands) {
    for (EndpointCommand command : decided) {
      owned
          .find(command.endpoint())
          .ifPresent(engine -> carryOut(engine, command.command(), nowMillis, commands));
    }
  }

  /** Handles the outcome of an order; returns whether this host must relinquish the engine. */
  boolean ended(HostEvent.OrderEnded event, long nowMillis, List<HostCommand> commands) {
    owned.find(event.endpoint()).ifPresent(OwnedEngine::orderEnded);
    if (event.load() && isLost(event)) {
      return false;
    }
    if (event.ending() instanceof OrderEnding.Fenced fenced) {
      return fenced(event, fenced, nowMillis, commands);
    }
    if (event.ending() instanceof OrderEnding.Done done) {
      fencing.onAccepted(event.endpoint(), done.fencing());
      settle(event, true, nowMillis, commands);
    } else if (event.ending() instanceof OrderEnding.Unanswered && !event.load()) {
      long confirmableFromMillis = nowMillis + orderFlightMillis;
      owned
          .find(event.endpoint())
          .ifPresent(engine -> engine.unloadUncertain(event.version(), confirmableFromMillis));
    } else {
      settle(event, false, nowMillis, commands);
    }
    return false;
  }

  /**
   * Ends a load; returns whether a restart of the engine had already ended it and released its
   * permit.
   */
  private boolean isLost(HostEvent.OrderEnded event) {
    return owned
        .find(event.endpoint())
        .filter(engine -> engine.loadEnded(event.version()))
        .isPresent();
  }

  /** Handles a restart of an engine: the orders to its previous incarnation are lost. */
  void restarted(EndpointId endpoint, long nowMillis, List<HostCommand> commands) {
    owned.find(endpoint).ifPresent(OwnedEngine::loadsLost);
    carryOut(scheduler.restarted(endpoint, nowMillis), nowMillis, commands);
  }

  /** Settles the unloads that got no answer, once a report shows their outcome. */
  void reported(EngineState state, long nowMillis, List<HostCommand> commands) {
    owned
        .find(state.endpoint())
        .ifPresent(
            engine -> {
              for (AdapterVersion version : engine.takeSettledUnloads(state.takenMillis())) {
                boolean succeeded = !state.resident().contains(version);
                unloadEnded(engine.endpoint(), version, succeeded, nowMillis, commands);
              }
            });
  }

  private void carryOut(
      OwnedEngine engine, PlacementCommand command, long nowMillis, List<HostCommand> commands) {
    if (command instanceof PlacementCommand.StartLoad load) {
      order(engine, load.version(), true, load.reason(), commands);
    } else if (command instanceof PlacementCommand.StartUnload unload) {
      startUnload(engine, unload, nowMillis, commands);
    } else if (command instanceof PlacementCommand.Permit permit) {
      replies.permitted(engine, permit, nowMillis, commands);
    } else if (command instanceof PlacementCommand.Decline decline) {
      replies.declined(engine, decline, commands);
    }
  }

  private void startUnload(
      OwnedEngine engine,
      PlacementCommand.StartUnload unload,
      long nowMillis,
      List<HostCommand> commands) {
    if (engine.ledger().beginEviction(unload.version(), nowMillis)) {
      order(engine, unload.version(), false, unload.reason(), commands);
    } else {
      List<EndpointCommand> next =
          scheduler.unloadFailed(engine.endpoint(), unload.version(), nowMillis);
      carryOut(next, nowMillis, commands);
    }
  }

  private void order(
      OwnedEngine engine,
      AdapterVersion version,
      boolean load,
      PlacementReason reason,
      List<HostCommand> commands) {
    EndpointId endpoint = engine.endpoint();
    FencingNumber token = fencing.number(endpoint);
    engine.orderStarted();
    if (load) {
      engine.loadStarted(version);
    }
    commands.add(
        load
            ? new HostCommand.OrderLoad(endpoint, version, token, reason)
            : new HostCommand.OrderUnload(endpoint, version, token, reason));
  }

  private boolean fenced(
      HostEvent.OrderEnded event,
      OrderEnding.Fenced fenced,
      long nowMillis,
      List<HostCommand> commands) {
    FencingVerdict verdict =
        fencing.onRefused(event.endpoint(), fenced.fencing(), fenced.highest());
    if (verdict == FencingVerdict.STEP_DOWN || owned.find(event.endpoint()).isEmpty()) {
      settle(event, false, nowMillis, commands);
      return verdict == FencingVerdict.STEP_DOWN;
    }
    OwnedEngine engine = owned.find(event.endpoint()).get();
    order(engine, event.version(), event.load(), PlacementReason.REQUESTED, commands);
    return false;
  }

  private void settle(
      HostEvent.OrderEnded event, boolean succeeded, long nowMillis, List<HostCommand> commands) {
    if (!event.load()) {
      unloadEnded(event.endpoint(), event.version(), succeeded, nowMillis, commands);
    } else if (succeeded) {
      carryOut(scheduler.loaded(event.endpoint(), event.version(), nowMillis), nowMillis, commands);
    } else {
      carryOut(
          scheduler.loadFailed(event.endpoint(), event.version(), nowMillis), nowMillis, commands);
    }
  }

  private void unloadEnded(
      EndpointId endpoint,
      AdapterVersion version,
      boolean succeeded,
      long nowMillis,
      List<HostCommand> commands) {
    owned.find(endpoint).ifPresent(engine -> engine.ledger().endEviction(version));
    List<EndpointCommand> next = new ArrayList<>();
    if (succeeded) {
      next.addAll(scheduler.unloaded(endpoint, version, nowMillis));
    } else {
      next.addAll(scheduler.unloadFailed(endpoint, version, nowMillis));
    }
    carryOut(next, nowMillis, commands);
  }
}
