package org.lentilhinge.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints that crashed while requests with the same digest were in flight, as observed by all
 * hosts. A complete response clears a request, and an endpoint that goes on clears its own crash.
 */
final class CrashedRequests {

  private static final int MAXIMUM_DIGESTS = 4_096;
  private static final int MAXIMUM_CRASHES_PER_DIGEST = 16;
  private static final int MAXIMUM_COMPLETED = 4_096;

  private final long retentionMillis;
  private final Map<String, List<Crash>> crashes = new LinkedHashMap<>();
  private final Map<String, Long> completedAtMillis = new RecentTimes(MAXIMUM_COMPLETED);

  /** Crashed incarnations that have not been looked up in the listing of the store yet. */
  private final Map<String, Long> unconfirmedAtMillis = new RecentTimes(MAXIMUM_DIGESTS);

  private record Crash(String incarnation, long startedAtMillis, long atMillis) {

    /**
     * Indicates whether this crash cannot have the same cause as an earlier one, such as the loss
     * of a rack: it is later, or the request was sent only after the earlier one.
     */
    boolean isIndependentOf(Crash earlier) {
      return startedAtMillis >= earlier.atMillis
          || atMillis - earlier.atMillis >= BrokenRequests.INDEPENDENT_MILLIS;
    }
  }

  CrashedRequests(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  /** Adds a crash, unless a response to the same request was complete at that time or later. */
  void add(RequestRun run, long atMillis) {
    boolean cleared =
        completedAtMillis.getOrDefault(run.digest(), Long.MIN_VALUE) >= run.startedAtMillis();
    if (cleared) {
      return;
    }
    List<Crash> known = crashes.remove(run.digest());
    if (known == null) {
      known = new ArrayList<>();
    }
    boolean repeated =
        known.stream().anyMatch(crash -> crash.incarnation().equals(run.incarnation()));
    if (!repeated && known.size() < MAXIMUM_CRASHES_PER_DIGEST) {
      known.add(new Crash(run.incarnation(), run.startedAtMillis(), atMillis));
      unconfirmedAtMillis.putIfAbsent(run.incarnation(), atMillis);
    }
    if (crashes.size() >= MAXIMUM_DIGESTS) {
      crashes.remove(crashes.keySet().iterator().next());
    }
    // The digests are in the order of their latest crashes.
    crashes.put(run.digest(), known);
  }

  /** Clears a request to which a response was complete; returns whether it had crashes. */
  boolean complete(String digest, long atMillis) {
    completedAtMillis.merge(digest, atMillis, Math::max);
    List<Crash> known = crashes.get(digest);
    boolean cleared = known != null && known.removeIf(crash -> crash.startedAtMillis() <= atMillis);
    if (cleared && known.isEmpty()) {
      crashes.remove(digest);
    }
    return cleared;
  }

  /**
   * Clears the crash of an endpoint that responded to a request sent after the crash, before it can
   * have started again.
   *
   * @return the digests that this concerns
   */
  Set<String> clearResponding(String incarnation, long startedAtMillis, long atMillis) {
    Long crashedAtMillis = unconfirmedAtMillis.get(incarnation);
    boolean goesOn =
        crashedAtMillis != null
            && crashedAtMillis + BrokenRequests.CLOCK_ERROR_MILLIS < startedAtMillis
            && atMillis - crashedAtMillis < BrokenRequests.MINIMUM_RESTART_MILLIS;
    return goesOn ? remove(incarnation) : Set.of();
  }

  /** Clears the crash of an endpoint that is still registered; returns the digests concerned. */
  Set<String> remove(String incarnation) {
    unconfirmedAtMillis.remove(incarnation);
    Set<String> digests = new HashSet<>();
    crashes.forEach(
        (digest, known) -> {
          if (known.removeIf(crash -> crash.incarnation().equals(incarnation))) {
            digests.add(digest);
          }
        });
    crashes.values().removeIf(List::isEmpty);
    return digests;
  }

  /** Records that an endpoint is no longer registered, so that its crash is certain. */
  void confirm(String incarnation) {
    unconfirmedAtMillis.remove(incarnation);
  }

  /** Returns the incarnations that crashed before a time and that were not looked up yet. */
  Set<String> unconfirmedBefore(long millis) {
    Set<String> incarnations = new HashSet<>();
    unconfirmedAtMillis.forEach(
        (incarnation, atMillis) -> {
          if (atMillis < millis) {
            incarnations.add(incarnation);
          }
        });
    return incarnations;
  }

  /** Removes what is too old. */
  void expire(long nowMillis) {
    crashes
        .values()
        .removeIf(
            known ->
                known.removeIf(crash -> nowMillis - crash.atMillis() > retentionMillis)
                    && known.isEmpty());
  }

  /** Returns the number of independent crashes since the last complete response. */
  int count(String digest) {
    List<Crash> sorted = new ArrayList<>(crashes.getOrDefault(digest, List.of()));
    sorted.sort(Comparator.comparingLong(Crash::atMillis));
    int count = 0;
    Crash latest = null;
    for (Crash crash : sorted) {
      if (latest == null || crash.isIndependentOf(latest)) {
        count++;
        latest = crash;
      }
    }
    return count;
  }

  /** Returns the time of the first of the crashes, in milliseconds. */
  long firstAtMillis(String digest) {
    return crashes.getOrDefault(digest, List.of()).stream()
        .mapToLong(Crash::atMillis)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Returns whether a response to a request with the digest is known to have been complete. */
  boolean hasCompleted(String digest) {
    return completedAtMillis.containsKey(digest);
  }
}
