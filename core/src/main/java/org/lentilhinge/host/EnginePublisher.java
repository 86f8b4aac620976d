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

  private static final long REMOTE_INTERVAL_MILLIS = 3_000;
  private static final long OWNER_REPEAT_INTERVAL_MILLIS = 2_000;
  private static final long ANNOUNCEMENT_BYTES = 88;
  private static final long BYTES_PER_VERSION = 24;
  private static final long ZONE_BYTES_PER_SECOND = 2_500;
  private static final long REMOTE_BYTES_PER_SECOND = 200;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final HostIncarnation self;
  private final Recipients recipients;
  private final Predicate<EndpointId> isLeaving;
  private final Map<EndpointId, Long> nextRemoteAtMillis = new HashMap<>();
  private final Map<EndpointId, Long> nextOwnerRepeatAtMillis = new HashMap<>();
  private final Map<EndpointId, Long> sentSequences = new HashMap<>();

  EnginePublisher(HostIncarnation self, Recipients recipients, Predicate<EndpointId> isLeaving) {
    this.self = self;
    this.recipients = recipients;
    this.isLeaving = isLeaving;
  }

  /** Announces a new owner, so that each gateway registers its grants. */
  void announceOwner(EndpointId endpoint, long nowMillis, List<HostCommand> commands) {
    nextOwnerRepeatAtMillis.put(endpoint, nowMillis + OWNER_REPEAT_INTERVAL_MILLIS);
    OwnerAnnouncement announcement = new OwnerAnnouncement(self, List.of(endpoint));
    recipients.allHosts().forEach(host -> commands.add(new HostCommand.Send(host, announcement)));
  }

  void onTick(OwnedEngine engine, long nowMillis, List<HostCommand> commands) {
    boolean repeat =
        nextOwnerRepeatAtMillis.getOrDefault(engine.endpoint(), Long.MAX_VALUE) <= nowMillis;
    if (repeat) {
      repeatOwnerAnnouncement(engine, nowMillis, commands);
    }
    nextAnnouncement(engine, nowMillis)
        .ifPresent(latest -> sendLatest(engine, latest, nowMillis, commands));
  }

  /** Repeats the announcement of the owner to the hosts that have not registered their grants. */
  private void repeatOwnerAnnouncement(
      OwnedEngine engine, long nowMillis, List<HostCommand> commands) {
    nextOwnerRepeatAtMillis.put(engine.endpoint(), nowMillis + OWNER_REPEAT_INTERVAL_MILLIS);
    OwnerAnnouncement announcement = new OwnerAnnouncement(self, List.of(engine.endpoint()));
    engine
        .ledger()
        .awaitedHosts(nowMillis)
        .forEach(host -> commands.add(new HostCommand.Send(host, announcement)));
  }

  /** Sends a gateway the complete announcement of an engine. */
  void sendComplete(OwnedEngine engine, HostId gateway, List<HostCommand> commands) {
    completeAnnouncement(engine)
        .ifPresent(complete -> commands.add(new HostCommand.Send(gateway, complete)));
  }

  /**
   * Sets the interval of load announcements, which grows with the number of engines and receivers.
   */
  void setLoadInterval(OwnedEngine engine, int engineCount) {
    long bytes = (long) recipients.zoneHosts().size() * engineCount * ANNOUNCEMENT_BYTES;
    long intervalMillis = bytes * MILLIS_PER_SECOND / ZONE_BYTES_PER_SECOND;
    engine.announcer().ifPresent(announcer -> announcer.setLoadInterval(intervalMillis));
  }

  private void sendLatest(
      OwnedEngine engine, EngineAnnouncement latest, long nowMillis, List<HostCommand> commands) {
    boolean changed = !Long.valueOf(latest.sequence()).equals(sentSequences.get(engine.endpoint()));
    sentSequences.put(engine.endpoint(), latest.sequence());
    Collection<HostId> receivers = changed ? recipients.regionHosts() : recipients.zoneHosts();
    receivers.forEach(host -> commands.add(new HostCommand.Send(host, latest)));
    sendToRemoteRegions(engine, nowMillis, commands);
  }

  void removeEngine(EndpointId endpoint) {
    nextRemoteAtMillis.remove(endpoint);
    sentSequences.remove(endpoint);
    nextOwnerRepeatAtMillis.remove(endpoint);
  }

  private Optional<EngineAnnouncement> nextAnnouncement(OwnedEngine engine, long nowMillis) {
    return engine
        .report()
        .flatMap(
            state ->
                engine
                    .announcer()
                    .flatMap(
                        announcer ->
                            announcer.nextAnnouncement(
                                state.running(),
                                state.queued(),
                                isEngineLeaving(state),
                                nowMillis)));
  }

  private boolean isEngineLeaving(EngineState state) {
    return state.leaving() || isLeaving.test(state.endpoint());
  }

  private void sendToRemoteRegions(OwnedEngine engine, long nowMillis, List<HostCommand> commands) {
    EndpointId endpoint = engine.endpoint();
    Optional<EngineAnnouncement> complete = completeAnnouncement(engine);
    if (complete.isEmpty()
        || nowMillis < nextRemoteAtMillis.getOrDefault(endpoint, Long.MIN_VALUE)) {
      return;
    }
    Collection<HostId> receivers = recipients.remoteRegionHosts();
    long versions = complete.get().added().size();
    long bytes = receivers.size() * (ANNOUNCEMENT_BYTES + versions * BYTES_PER_VERSION);
    long intervalMillis = bytes * MILLIS_PER_SECOND / REMOTE_BYTES_PER_SECOND;
    nextRemoteAtMillis.put(endpoint, nowMillis + Math.max(REMOTE_INTERVAL_MILLIS, intervalMillis));
    receivers.forEach(host -> commands.add(new HostCommand.Send(host, complete.get())));
  }

  private Optional<EngineAnnouncement> completeAnnouncement(OwnedEngine engine) {
    return engine
        .report()
        .flatMap(
            state ->
                engine
                    .announcer()
                    .map(
                        announcer ->
                            announcer.completeAnnouncement(
                                state.running(), state.queued(), isEngineLeaving(state))));
  }
}
