package org.lentilhinge.host;

import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.lease.FencingRefusalAction;
import org.lentilhinge.lease.FencingSequence;
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
  private final long maximumOrderTransitMillis;

  EngineOrders(
      FencingSequence fencing,
      PlacementScheduler scheduler,
      OwnedEngines owned,
      GrantReplies replies,
      long maximumOrderTransitMillis) {
    this.fencing = fencing;
    this.scheduler = scheduler;
    this.owned = owned;
    this.replies = replies;
    this.maximumOrderTransitMillis = maximumOrderTransitMillis;
  }

  void execute(List<EndpointCommand> decisions, long nowMillis, List<HostCommand> commands) {
    for (EndpointCommand command : decisions) {
      owned
          .find(command.endpoint())
          .ifPresent(engine -> execute(engine, command.command(), nowMillis, commands));
    }
  }

  /** Handles the outcome of an order; returns whether this host must relinquish the engine. */
  boolean onOrderEnded(HostEvent.OrderEnded event, long nowMillis, List<HostCommand> commands) {
    owned.find(event.endpoint()).ifPresent(OwnedEngine::recordOrderEnd);
    if (event.load() && endLoad(event)) {
      return false;
    }
    if (event.outcome() instanceof OrderOutcome.Fenced fenced) {
      return onFenced(event, fenced, nowMillis, commands);
    }
    if (event.outcome() instanceof OrderOutcome.Done done) {
      fencing.onAccepted(event.endpoint(), done.fencing());
      recordOutcome(event, true, nowMillis, commands);
    } else if (event.outcome() instanceof OrderOutcome.Unanswered && !event.load()) {
      long confirmableFromMillis = nowMillis + maximumOrderTransitMillis;
      owned
          .find(event.endpoint())
          .ifPresent(
              engine -> engine.recordUnconfirmedUnload(event.version(), confirmableFromMillis));
    } else {
      recordOutcome(event, false, nowMillis, commands);
    }
    return false;
  }

  /**
   * Ends a load; returns whether a restart of the engine had already ended it and released its
   * permit.
   */
  private boolean endLoad(HostEvent.OrderEnded event) {
    return owned
        .find(event.endpoint())
        .filter(engine -> engine.endLoad(event.version()))
        .isPresent();
  }

  /** Handles a restart of an engine: the orders to its previous incarnation are lost. */
  void onRestarted(EndpointId endpoint, long nowMillis, List<HostCommand> commands) {
    owned.find(endpoint).ifPresent(OwnedEngine::abandonLoads);
    execute(scheduler.onRestarted(endpoint, nowMillis), nowMillis, commands);
  }

  /** Completes the unanswered unloads whose outcome the report shows. */
  void onReport(EngineState state, long nowMillis, List<HostCommand> commands) {
    owned
        .find(state.endpoint())
        .ifPresent(
            engine -> {
              for (AdapterVersion version :
                  engine.removeConfirmableUnloads(state.takenAfterMillis())) {
                boolean succeeded = !state.resident().contains(version);
                onUnloadEnded(engine.endpoint(), version, succeeded, nowMillis, commands);
              }
            });
  }

  private void execute(
      OwnedEngine engine, PlacementCommand command, long nowMillis, List<HostCommand> commands) {
    if (command instanceof PlacementCommand.StartLoad load) {
      issueOrder(engine, load.version(), true, load.reason(), commands);
    } else if (command instanceof PlacementCommand.StartUnload unload) {
      startUnload(engine, unload, nowMillis, commands);
    } else if (command instanceof PlacementCommand.Permit permit) {
      replies.replyPermitted(engine, permit, nowMillis, commands);
    } else if (command instanceof PlacementCommand.Decline decline) {
      replies.replyDeclined(engine, decline, commands);
    }
  }

  private void startUnload(
      OwnedEngine engine,
      PlacementCommand.StartUnload unload,
      long nowMillis,
      List<HostCommand> commands) {
    if (engine.ledger().beginEviction(unload.version(), nowMillis)) {
      issueOrder(engine, unload.version(), false, unload.reason(), commands);
    } else {
      List<EndpointCommand> next =
          scheduler.onUnloadFailed(engine.endpoint(), unload.version(), nowMillis);
      execute(next, nowMillis, commands);
    }
  }

  private void issueOrder(
      OwnedEngine engine,
      AdapterVersion version,
      boolean load,
      PlacementReason reason,
      List<HostCommand> commands) {
    EndpointId endpoint = engine.endpoint();
    FencingToken token = fencing.token(endpoint);
    engine.recordOrderStart();
    if (load) {
      engine.recordLoadStart(version);
    }
    commands.add(
        load
            ? new HostCommand.OrderLoad(endpoint, version, token, reason)
            : new HostCommand.OrderUnload(endpoint, version, token, reason));
  }

  private boolean onFenced(
      HostEvent.OrderEnded event,
      OrderOutcome.Fenced fenced,
      long nowMillis,
      List<HostCommand> commands) {
    FencingRefusalAction action =
        fencing.onRefused(event.endpoint(), fenced.fencing(), fenced.highest());
    if (action == FencingRefusalAction.STEP_DOWN || owned.find(event.endpoint()).isEmpty()) {
      recordOutcome(event, false, nowMillis, commands);
      return action == FencingRefusalAction.STEP_DOWN;
    }
    OwnedEngine engine = owned.find(event.endpoint()).get();
    issueOrder(engine, event.version(), event.load(), PlacementReason.REQUESTED, commands);
    return false;
  }

  private void recordOutcome(
      HostEvent.OrderEnded event, boolean succeeded, long nowMillis, List<HostCommand> commands) {
    if (!event.load()) {
      onUnloadEnded(event.endpoint(), event.version(), succeeded, nowMillis, commands);
    } else if (succeeded) {
      execute(
          scheduler.onLoaded(event.endpoint(), event.version(), nowMillis), nowMillis, commands);
    } else {
      execute(
          scheduler.onLoadFailed(event.endpoint(), event.version(), nowMillis),
          nowMillis,
          commands);
    }
  }

  private void onUnloadEnded(
      EndpointId endpoint,
      AdapterVersion version,
      boolean succeeded,
      long nowMillis,
      List<HostCommand> commands) {
    owned.find(endpoint).ifPresent(engine -> engine.ledger().endEviction(version));
    List<EndpointCommand> next = new ArrayList<>();
    if (succeeded) {
      next.addAll(scheduler.onUnloaded(endpoint, version, nowMillis));
    } else {
      next.addAll(scheduler.onUnloadFailed(endpoint, version, nowMillis));
    }
    execute(next, nowMillis, commands);
  }
}
