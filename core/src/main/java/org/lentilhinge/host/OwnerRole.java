package org.lentilhinge.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.lease.FencingSequence;
import org.lentilhinge.lease.OwnershipCommand;
import org.lentilhinge.lease.OwnershipLevel;
import org.lentilhinge.lease.ZoneOwnership;
import org.lentilhinge.placement.DemandHint;
import org.lentilhinge.placement.EndpointPlacement;
import org.lentilhinge.placement.EngineAnnouncer;
import org.lentilhinge.placement.PlacementScheduler;

/** Takes over and relinquishes engines, and announces their state to the gateways. */
final class OwnerRole {

  private static final long REPORT_INTERVAL_MILLIS = 500;

  private final ZoneOwnership ownership;
  private final FencingSequence fencing;
  private final PlacementScheduler scheduler;
  private final PlacementFactory placements;
  private final OwnedEngines owned;
  private final EngineOrders orders;
  private final Recipients recipients;
  private final EnginePublisher publisher;
  private final GrantRecaller recaller;
  private final Predicate<EndpointId> isLeaving;
  private final Map<EndpointId, Engine> declaredEngines = new TreeMap<>();

  OwnerRole(
      HostIncarnation self,
      ZoneOwnership ownership,
      FencingSequence fencing,
      PlacementScheduler scheduler,
      PlacementFactory placements,
      OwnedEngines owned,
      EngineOrders orders,
      Recipients recipients,
      Predicate<EndpointId> isLeaving) {
    this.ownership = ownership;
    this.fencing = fencing;
    this.scheduler = scheduler;
    this.placements = placements;
    this.owned = owned;
    this.orders = orders;
    this.recipients = recipients;
    this.recaller = new GrantRecaller(self.host());
    this.publisher = new EnginePublisher(self, recipients, isLeaving);
    this.isLeaving = isLeaving;
  }

  void declareEngines(Collection<Engine> engines) {
    declaredEngines.clear();
    engines.forEach(engine -> declaredEngines.put(engine.id(), engine));
  }

  List<HostCommand> applyOwnership(
      List<OwnershipCommand> decisions, long uptimeMillis, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    for (OwnershipCommand command : decisions) {
      if (command instanceof OwnershipCommand.Send send) {
        commands.add(new HostCommand.Send(send.to(), send.message()));
      } else if (command instanceof OwnershipCommand.LevelChanged change) {
        onLevelChanged(change, uptimeMillis, nowMillis, commands);
      }
    }
    return commands;
  }

  List<HostCommand> onReport(EngineState state, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    state.fencing().ifPresent(token -> fencing.onReported(state.endpoint(), token));
    owned.find(state.endpoint()).ifPresent(engine -> onReport(engine, state, nowMillis, commands));
    return commands;
  }

  List<HostCommand> onEndpointLeaving(EndpointId endpoint, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    orders.execute(scheduler.setLeaving(endpoint, true, nowMillis), nowMillis, commands);
    return commands;
  }

  List<HostCommand> onTick(long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    for (OwnedEngine engine : owned.all()) {
      engine.ledger().onTick(nowMillis);
      if (engine.startReadIfDue(nowMillis, REPORT_INTERVAL_MILLIS)) {
        commands.add(new HostCommand.ReadReport(engine.endpoint()));
      }
    }
    orders.execute(scheduler.advance(nowMillis), nowMillis, commands);
    owned.all().forEach(engine -> recaller.recall(engine, nowMillis, commands));
    int engineCount = owned.all().size();
    owned.all().forEach(engine -> publisher.setLoadInterval(engine, engineCount));
    owned.all().forEach(engine -> publisher.onTick(engine, nowMillis, commands));
    return commands;
  }

  /**
   * Records demand that would have been routed to an owned engine had the version been resident.
   */
  void onDemandHint(DemandHint hint, long nowMillis) {
    scheduler.onDemandHint(hint, nowMillis);
  }

  /** Starts no further loads; the waiting gateways request their grants from the next owner. */
  void stopPlacement() {
    owned.all().forEach(engine -> scheduler.release(engine.endpoint()));
  }

  /** Sends a complete announcement to a gateway that has missed an announcement. */
  List<HostCommand> sendCompleteAnnouncement(EndpointId endpoint, HostId gateway) {
    List<HostCommand> commands = new ArrayList<>();
    owned.find(endpoint).ifPresent(engine -> publisher.sendComplete(engine, gateway, commands));
    return commands;
  }

  private void onReport(
      OwnedEngine engine, EngineState state, long nowMillis, List<HostCommand> commands) {
    boolean restarted =
        engine
            .report()
            .filter(previous -> previous.incarnation() != state.incarnation())
            .isPresent();
    engine.report(state);
    engine.ledger().onBusyVersions(state.busy(), nowMillis);
    if (restarted) {
      orders.onRestarted(state.endpoint(), nowMillis, commands);
    }
    startPlacement(engine, nowMillis);
    orders.onReport(state, nowMillis, commands);
    engine
        .placement()
        .ifPresent(
            placement ->
                placement.reconcile(state.resident(), state.takenAfterMillis(), nowMillis));
    boolean leaving = state.leaving() || isLeaving.test(state.endpoint());
    orders.execute(scheduler.setLeaving(state.endpoint(), leaving, nowMillis), nowMillis, commands);
    orders.execute(scheduler.advance(nowMillis), nowMillis, commands);
  }

  private void onLevelChanged(
      OwnershipCommand.LevelChanged change,
      long uptimeMillis,
      long nowMillis,
      List<HostCommand> commands) {
    EndpointId endpoint = change.endpoint();
    commands.add(new HostCommand.OwnershipChanged(endpoint, change.previous(), change.current()));
    if (change.current() == OwnershipLevel.NONE) {
      scheduler.release(endpoint);
      owned.remove(endpoint);
      publisher.removeEngine(endpoint);
      return;
    }
    if (change.previous() == OwnershipLevel.NONE) {
      takeOver(endpoint, nowMillis, commands);
    }
    owned
        .find(endpoint)
        .ifPresent(engine -> changeLevel(engine, change.current(), uptimeMillis, nowMillis));
  }

  private void takeOver(EndpointId endpoint, long nowMillis, List<HostCommand> commands) {
    Engine engine = declaredEngines.get(endpoint);
    if (engine == null) {
      return;
    }
    owned.add(placements.createOwnedEngine(engine));
    publisher.announceOwner(endpoint, nowMillis, commands);
    commands.add(new HostCommand.ReadReport(endpoint));
  }

  private void changeLevel(
      OwnedEngine engine, OwnershipLevel level, long uptimeMillis, long nowMillis) {
    if (level == OwnershipLevel.ORDER) {
      fencing.beginTerm(engine.endpoint());
      engine.ledger().beginRecovery(recipients.allHosts(), uptimeMillis, nowMillis);
      startPlacement(engine, nowMillis);
    } else {
      scheduler.release(engine.endpoint());
      engine.clearPlacement();
    }
  }

  /** Starts placement on an engine once this host may order and the engine has reported. */
  private void startPlacement(OwnedEngine engine, long nowMillis) {
    boolean mayOrder = ownership.mayOrder(engine.endpoint(), nowMillis);
    if (!mayOrder || engine.placement().isPresent() || engine.report().isEmpty()) {
      return;
    }
    EngineState report = engine.report().get();
    EndpointPlacement placement = placements.createPlacement(engine);
    placement.reconcile(report.resident(), report.takenAfterMillis(), nowMillis);
    scheduler.acquire(placement);
    long epoch = fencing.token(engine.endpoint()).counter();
    engine.setPlacement(placement, new EngineAnnouncer(placement, epoch));
  }
}
