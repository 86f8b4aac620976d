package org.lentilhinge.host;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.lentilhinge.grant.OwnerAnnouncement;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.placement.EngineAnnouncement;

/**
 * Announces to gateways which engines this host owns and which versions they have: the load to the
 * zone, each change of the versions to the region, and complete announcements at intervals to the
 * other regions. The intervals grow with the number of receivers and engines, which bounds the
 * bytes sent per second.
 */
final class EnginePublisher {

  private static final long FAR_INTERVAL_MILLIS = 3_000;
  private static final long RECOVERY_INTERVAL_MILLIS = 2_000;
  private static final long LOAD_BYTES = 88;
  private static final long VERSION_BYTES = 24;
  private static final long LOAD_BYTES_PER_SECOND = 2_500;
  private static final long FAR_BYTES_PER_SECOND = 200;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final HostIncarnation self;
  private final Recipients recipients;
  private final Predicate<EndpointId> isLeaving;
  private final Map<EndpointId, Long> farDueMillis = new HashMap<>();
  private final Map<EndpointId, Long> recoveryDueMillis = new HashMap<>();
  private final Map<EndpointId, Long> told = new HashMap<>();

  EnginePublisher(HostIncarnation self, Recipients recipients, Predicate<EndpointId> isLeaving) {
    this.self = self;
    this.recipients = recipients;
    this.isLeaving = isLeaving;
  }

  /** Announces a new owner, so that each gateway registers the grants that it holds. */
  void announceOwner(EndpointId endpoint, long nowMillis, List<HostCommand> commands) {
    recoveryDueMillis.put(endpoint, nowMillis + RECOVERY_INTERVAL_MILLIS);
    OwnerAnnouncement announcement = new OwnerAnnouncement(self, List.of(endpoint));
    recipients.all().forEach(host -> commands.add(new HostCommand.Send(host, announcement)));
  }

  void tick(OwnedEngine engine, long nowMillis, List<HostCommand> commands) {
    boolean repeat = recoveryDueMillis.getOrDefault(engine.endpoint(), Long.MAX_VALUE) <= nowMillis;
    if (repeat) {
      announceAgain(engine, nowMillis, commands);
    }
    due(engine, nowMillis).ifPresent(latest -> tell(engine, latest, nowMillis, commands));
  }

  /** Repeats the announcement of the owner to the hosts that have not registered their grants. */
  private void announceAgain(OwnedEngine engine, long nowMillis, List<HostCommand> commands) {
    recoveryDueMillis.put(engine.endpoint(), nowMillis + RECOVERY_INTERVAL_MILLIS);
    OwnerAnnouncement announcement = new OwnerAnnouncement(self, List.of(engine.endpoint()));
    engine
        .ledger()
        .awaited(nowMillis)
        .forEach(host -> commands.add(new HostCommand.Send(host, announcement)));
  }

  /** Sends a gateway everything that has been announced of an engine. */
  void tellWhole(OwnedEngine engine, HostId gateway, List<HostCommand> commands) {
    whole(engine).ifPresent(complete -> commands.add(new HostCommand.Send(gateway, complete)));
  }

  /**
   * Sets the interval of load announcements, which grows with the number of engines and receivers.
   */
  void pace(OwnedEngine engine, int engines) {
    long bytes = (long) recipients.zone().size() * engines * LOAD_BYTES;
    long intervalMillis = bytes * MILLIS_PER_SECOND / LOAD_BYTES_PER_SECOND;
    engine.announcer().ifPresent(announcer -> announcer.pace(intervalMillis));
  }

  private void tell(
      OwnedEngine engine, EngineAnnouncement latest, long nowMillis, List<HostCommand> commands) {
    boolean changed = !Long.valueOf(latest.sequence()).equals(told.get(engine.endpoint()));
    told.put(engine.endpoint(), latest.sequence());
    Collection<HostId> receivers = changed ? recipients.near() : recipients.zone();
    receivers.forEach(host -> commands.add(new HostCommand.Send(host, latest)));
    tellFar(engine, nowMillis, commands);
  }

  void forget(EndpointId endpoint) {
    farDueMillis.remove(endpoint);
    told.remove(endpoint);
    recoveryDueMillis.remove(endpoint);
  }

  private Optional<EngineAnnouncement> due(OwnedEngine engine, long nowMillis) {
    return engine
        .report()
        .flatMap(
            state ->
                engine
                    .announcer()
                    .flatMap(
                        announcer ->
                            announcer.due(
                                state.running(), state.queued(), leaves(state), nowMillis)));
  }

  private boolean leaves(EngineState state) {
    return state.leaving() || isLeaving.test(state.endpoint());
  }

  private void tellFar(OwnedEngine engine, long nowMillis, List<HostCommand> commands) {
    EndpointId endpoint = engine.endpoint();
    Optional<EngineAnnouncement> complete = whole(engine);
    if (complete.isEmpty() || nowMillis < farDueMillis.getOrDefault(endpoint, Long.MIN_VALUE)) {
      return;
    }
    Collection<HostId> receivers = recipients.far();
    long versions = complete.get().added().size();
    long bytes = receivers.size() * (LOAD_BYTES + versions * VERSION_BYTES);
    long intervalMillis = bytes * MILLIS_PER_SECOND / FAR_BYTES_PER_SECOND;
    farDueMillis.put(endpoint, nowMillis + Math.max(FAR_INTERVAL_MILLIS, intervalMillis));
    receivers.forEach(host -> commands.add(new HostCommand.Send(host, complete.get())));
  }

  private Optional<EngineAnnouncement> whole(OwnedEngine engine) {
    return engine
        .report()
        .flatMap(
            state ->
                engine
                    .announcer()
                    .map(
                        announcer ->
                            announcer.complete(state.running(), state.queued(), leaves(state))));
  }
}
