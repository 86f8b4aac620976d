package org.lentilhinge.placement;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;

/**
 * Creates an owner's announcements of one engine: at once when the resident or loading versions
 * change, and otherwise periodically to report the load. Periodic announcements repeat the sequence
 * number of the preceding change, so that they may be sent to fewer gateways.
 */
public final class EngineAnnouncer {

  private static final long LOAD_INTERVAL_MILLIS = 200;

  private final EndpointPlacement placement;
  private final long epoch;
  private Set<AdapterVersion> announcedResident = Set.of();
  private Set<AdapterVersion> announcedLoading = Set.of();
  private long announcedRevision = -1;
  private long sequence;
  private long loadDueAtMillis = Long.MIN_VALUE;
  private long loadIntervalMillis = LOAD_INTERVAL_MILLIS;
  private boolean completeSent;

  /**
   * Creates an announcer for the duration of one ownership.
   *
   * @param placement the engine's placement
   * @param epoch the counter of the owner's fencing token
   */
  public EngineAnnouncer(EndpointPlacement placement, long epoch) {
    this.placement = placement;
    this.epoch = epoch;
  }

  /**
   * Returns the announcement that is due.
   *
   * @param running the number of requests that the engine runs, as last reported
   * @param queued the number of requests that wait on the engine
   * @param leaving whether the engine accepts no new requests
   * @param nowMillis the monotonic time, in milliseconds
   * @return the announcement, or empty if nothing is due
   */
  public Optional<EngineAnnouncement> nextAnnouncement(
      int running, int queued, boolean leaving, long nowMillis) {
    boolean revised = placement.revision() != announcedRevision;
    if (!revised && nowMillis < loadDueAtMillis) {
      return Optional.empty();
    }
    announcedRevision = placement.revision();
    Set<AdapterVersion> resident = revised ? placement.resident() : announcedResident;
    Set<AdapterVersion> loading = revised ? placement.loading() : announcedLoading;
    boolean changed = !resident.equals(announcedResident) || !loading.equals(announcedLoading);
    if (!changed && nowMillis < loadDueAtMillis) {
      return Optional.empty();
    }
    boolean complete = !completeSent;
    completeSent = true;
    loadDueAtMillis = nowMillis + loadIntervalMillis;
    if (changed) {
      sequence++;
    }
    EngineAnnouncement announcement =
        new EngineAnnouncement(
            placement.endpoint(),
            epoch,
            sequence,
            complete,
            complete ? resident : difference(resident, announcedResident),
            complete ? Set.of() : difference(announcedResident, resident),
            loading,
            running,
            queued,
            placement.awaitingLoad(),
            placement.loadWaitMillis(),
            leaving);
    announcedResident = resident;
    announcedLoading = loading;
    return Optional.of(announcement);
  }

  /**
   * Creates a complete announcement of the state announced last, for a gateway that missed an
   * announcement.
   *
   * @param running the number of requests that the engine runs, as last reported
   * @param queued the number of requests that wait on the engine
   * @param leaving whether the engine accepts no new requests
   * @return the announcement, with the sequence number of the last one
   */
  public EngineAnnouncement completeAnnouncement(int running, int queued, boolean leaving) {
    return new EngineAnnouncement(
        placement.endpoint(),
        epoch,
        sequence,
        true,
        announcedResident,
        Set.of(),
        placement.loading(),
        running,
        queued,
        placement.awaitingLoad(),
        placement.loadWaitMillis(),
        leaving);
  }

  /**
   * Sets the interval at which the load is announced while the content does not change.
   *
   * @param intervalMillis the interval in milliseconds
   */
  public void setLoadInterval(long intervalMillis) {
    loadIntervalMillis = Math.max(LOAD_INTERVAL_MILLIS, intervalMillis);
  }

  private static Set<AdapterVersion> difference(
      Set<AdapterVersion> minuend, Set<AdapterVersion> subtrahend) {
    Set<AdapterVersion> difference = new HashSet<>(minuend);
    difference.removeAll(subtrahend);
    return difference;
  }
}
