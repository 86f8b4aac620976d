package org.lentilhinge.routing;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.placement.EngineAnnouncement;

/**
 * Holds a gateway's view of one engine: the state that the engine's owner announced last, and the
 * gateway's own dispatches that the announcement may not yet include.
 */
public final class EngineView {

  private static final long ANNOUNCEMENT_LAG_MILLIS = 250;
  private static final int MAXIMUM_PREFIXES = 64;

  private record RequestCountChange(long atMillis, int requests) {}

  private final Engine engine;
  private final RegionId region;
  private final Set<AdapterVersion> resident = new HashSet<>();
  private final Set<AdapterVersion> loading = new HashSet<>();
  private final Set<Long> recentPrefixes = new LinkedHashSet<>();
  private final Deque<RequestCountChange> unannouncedChanges = new ArrayDeque<>();
  private long epoch = Long.MIN_VALUE;
  private long sequence;
  private long announcedAtMillis = Long.MIN_VALUE;
  private int announcedRequests;
  private int announcedAwaitingLoad;
  private long loadWaitMillis;
  private int unannouncedRequests;
  private boolean leaving;
  private boolean listedLeaving;
  private long suspectUntilMillis = Long.MIN_VALUE;

  EngineView(Engine engine, RegionId region) {
    this.engine = engine;
    this.region = region;
  }

  /**
   * Returns the engine's declaration.
   *
   * @return the declaration
   */
  public Engine engine() {
    return engine;
  }

  /**
   * Returns the region of the engine.
   *
   * @return the region
   */
  public RegionId region() {
    return region;
  }

  /**
   * Returns the versions that are resident on the engine.
   *
   * @return a live, unmodifiable view of the versions
   */
  public Set<AdapterVersion> resident() {
    return Collections.unmodifiableSet(resident);
  }

  /**
   * Returns the versions that are being loaded on the engine.
   *
   * @return a live, unmodifiable view of the versions
   */
  public Set<AdapterVersion> loading() {
    return Collections.unmodifiableSet(loading);
  }

  /**
   * Returns the number of requests that the engine runs or queues, including the gateway's own
   * recent dispatches.
   *
   * @return the number of requests
   */
  public int outstandingRequests() {
    return Math.max(0, announcedRequests + unannouncedRequests);
  }

  /**
   * Returns the number of requests that wait for a load on the engine.
   *
   * @return the number of requests
   */
  public int awaitingLoad() {
    return announcedAwaitingLoad;
  }

  /**
   * Returns how long a load on the engine is expected to wait for the store.
   *
   * @return the wait in milliseconds
   */
  public long loadWaitMillis() {
    return loadWaitMillis;
  }

  /**
   * Returns the number of batch slots that no request uses or waits for.
   *
   * @return the number of slots, negative if requests are queued
   */
  public int freeBatchSlots() {
    return engine.batchSlots() - outstandingRequests();
  }

  /**
   * Returns the time since the last announcement of the engine's owner.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the age, in milliseconds, or {@link Long#MAX_VALUE} if no announcement was received
   */
  public long announcementAgeMillis(long nowMillis) {
    return announcedAtMillis == Long.MIN_VALUE ? Long.MAX_VALUE : nowMillis - announcedAtMillis;
  }

  /**
   * Indicates whether new requests may be dispatched to the engine.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return whether the engine is neither leaving nor suspect
   */
  public boolean isUsable(long nowMillis) {
    return !leaving && !listedLeaving && suspectUntilMillis <= nowMillis;
  }

  /**
   * Indicates whether the engine is likely to have the start of a prompt in its prefix cache.
   *
   * @param prefix the fingerprint of the first tokens of the prompt
   * @return whether this gateway recently dispatched a prompt with that start to the engine
   */
  public boolean hasPrefix(long prefix) {
    return recentPrefixes.contains(prefix);
  }

  boolean isStale(EngineAnnouncement announcement) {
    return announcement.epoch() < epoch
        || announcement.epoch() == epoch && announcement.sequence() < sequence;
  }

  boolean changesContent(EngineAnnouncement announcement) {
    return announcement.complete()
        || !announcement.added().isEmpty()
        || !announcement.removed().isEmpty()
        || !announcement.loading().equals(loading);
  }

  /** Applies an announcement and returns whether an earlier one was missed. */
  boolean applyAnnouncement(EngineAnnouncement announcement, long nowMillis) {
    boolean repeated = announcement.epoch() == epoch && announcement.sequence() == sequence;
    boolean missed =
        !announcement.complete()
            && !repeated
            && (announcement.epoch() != epoch || announcement.sequence() != sequence + 1);
    epoch = announcement.epoch();
    sequence = announcement.sequence();
    if (announcement.complete()) {
      resident.clear();
    }
    resident.removeAll(announcement.removed());
    resident.addAll(announcement.added());
    loading.clear();
    loading.addAll(announcement.loading());
    announcedRequests = announcement.running() + announcement.queued();
    announcedAwaitingLoad = announcement.awaitingLoad();
    loadWaitMillis = announcement.loadWaitMillis();
    leaving = announcement.leaving();
    announcedAtMillis = nowMillis;
    removeAnnouncedChanges(nowMillis);
    return missed;
  }

  void recordRequestCountChange(int requests, long nowMillis) {
    unannouncedChanges.addLast(new RequestCountChange(nowMillis, requests));
    unannouncedRequests += requests;
  }

  void recordPrefix(long prefix) {
    recentPrefixes.remove(prefix);
    recentPrefixes.add(prefix);
    if (recentPrefixes.size() > MAXIMUM_PREFIXES) {
      Iterator<Long> oldest = recentPrefixes.iterator();
      oldest.next();
      oldest.remove();
    }
  }

  void setListedLeaving(boolean isLeaving) {
    listedLeaving = isLeaving;
  }

  void setSuspectUntil(long untilMillis) {
    suspectUntilMillis = untilMillis;
  }

  private void removeAnnouncedChanges(long nowMillis) {
    while (!unannouncedChanges.isEmpty()
        && nowMillis - unannouncedChanges.peekFirst().atMillis() > ANNOUNCEMENT_LAG_MILLIS) {
      unannouncedRequests -= unannouncedChanges.removeFirst().requests();
    }
  }
}
