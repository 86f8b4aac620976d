package org.lentilhinge.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The recent requests whose connection to an engine ended before the response began, as observed by
 * all hosts. A part is suspected of each of them until a request with that part survives.
 */
final class BrokenRequests {

  private static final int MAXIMUM_REQUESTS = 512;
  private static final int MAXIMUM_EXPLAINED_CRASHES = 256;
  private static final int MAXIMUM_SURVIVED_PARTS = 4_096;

  /**
   * The time between two crashes below which they may have one cause, such as the loss of a
   * network, in milliseconds.
   */
  static final long INDEPENDENT_MILLIS = 250;

  /** The error of times that other hosts report, in milliseconds. */
  static final long CLOCK_ERROR_MILLIS = 100;

  /**
   * The time within which an engine that has crashed cannot serve requests again, in milliseconds.
   */
  static final long MINIMUM_RESTART_MILLIS = 1_000;

  private final long retentionMillis;
  private final Deque<Broken> requests = new ArrayDeque<>();
  private final Map<String, Long> survivedAtMillis = new RecentTimes(MAXIMUM_SURVIVED_PARTS);

  /** The incarnations of engines whose crashes are explained by a quarantine. */
  private final Map<String, Long> explainedAtMillis = new RecentTimes(MAXIMUM_EXPLAINED_CRASHES);

  /** A broken request, with those of its parts that no later request has cleared. */
  private record Broken(String incarnation, Set<String> suspects, boolean own, long atMillis) {}

  /**
   * Parts that occurred together in the largest number of independent crashes.
   *
   * @param parts the parts
   * @param crashes the number of crashes
   * @param firstAtMillis the time of the first of them, in milliseconds
   */
  record Suspicion(Set<String> parts, int crashes, long firstAtMillis) {}

  BrokenRequests(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  /**
   * Adds a broken request, which this host or another one observed, unless its engine crashed on
   * parts in quarantine.
   */
  void add(String incarnation, Collection<String> parts, boolean own, long atMillis) {
    if (explainedAtMillis.containsKey(incarnation)) {
      return;
    }
    Set<String> suspects = new HashSet<>(parts);
    suspects.removeIf(part -> survivedAtMillis.getOrDefault(part, Long.MIN_VALUE) >= atMillis);
    if (requests.size() >= MAXIMUM_REQUESTS) {
      requests.removeFirst();
    }
    requests.addLast(new Broken(incarnation, suspects, own, atMillis));
  }

  /**
   * Clears the parts of a request that survived, and the crashes of an engine that goes on.
   *
   * @return whether any request was suspected of these parts or of this engine
   */
  boolean clear(String incarnation, Collection<String> parts, long startedAtMillis, long atMillis) {
    parts.forEach(part -> survivedAtMillis.merge(part, atMillis, Math::max));
    boolean cleared = false;
    for (Iterator<Broken> all = requests.iterator(); all.hasNext(); ) {
      Broken broken = all.next();
      boolean goesOn =
          broken.incarnation().equals(incarnation)
              && broken.atMillis() + CLOCK_ERROR_MILLIS < startedAtMillis
              && atMillis - broken.atMillis() < MINIMUM_RESTART_MILLIS;
      if (goesOn) {
        all.remove();
        cleared = true;
      } else if (broken.atMillis() <= atMillis) {
        cleared |= broken.suspects().removeAll(parts);
      }
    }
    return cleared;
  }

  /** Removes the crashes that requests with all of the given parts explain. */
  void removeExplained(Collection<String> parts) {
    for (Broken broken : requests) {
      if (broken.suspects().containsAll(parts)) {
        explainedAtMillis.put(broken.incarnation(), broken.atMillis());
      }
    }
    requests.removeIf(broken -> explainedAtMillis.containsKey(broken.incarnation()));
  }

  /** Removes what is too old. */
  void expire(long nowMillis) {
    requests.removeIf(broken -> nowMillis - broken.atMillis() > retentionMillis);
  }

  /** Returns the parts that most crashes have in common; empty if no request has all of them. */
  Suspicion strongestSuspicion() {
    Map<String, Map<String, Long>> crashesByPart = new HashMap<>();
    for (Broken broken : requests) {
      for (String part : broken.suspects()) {
        crashesByPart
            .computeIfAbsent(part, unused -> new HashMap<>())
            .merge(broken.incarnation(), broken.atMillis(), Math::min);
      }
    }
    int most = 0;
    Set<String> parts = new HashSet<>();
    for (Map.Entry<String, Map<String, Long>> entry : crashesByPart.entrySet()) {
      int crashes = countIndependent(entry.getValue().values());
      if (crashes > most) {
        most = crashes;
        parts.clear();
      }
      if (crashes == most) {
        parts.add(entry.getKey());
      }
    }
    OptionalLong firstAtMillis =
        requests.stream()
            .filter(broken -> broken.suspects().containsAll(parts))
            .mapToLong(Broken::atMillis)
            .min();
    return firstAtMillis.isPresent()
        ? new Suspicion(parts, most, firstAtMillis.getAsLong())
        : new Suspicion(Set.of(), 0, 0);
  }

  /** Returns whether a request with a part is known to have survived after a time. */
  boolean hasSurvivedSince(String part, long sinceMillis) {
    return survivedAtMillis.getOrDefault(part, Long.MIN_VALUE) > sinceMillis + CLOCK_ERROR_MILLIS;
  }

  private static int countIndependent(Collection<Long> times) {
    List<Long> sorted = new ArrayList<>(times);
    Collections.sort(sorted);
    int count = 0;
    long latest = Long.MIN_VALUE / 2;
    for (long time : sorted) {
      if (time - latest >= INDEPENDENT_MILLIS) {
        count++;
        latest = time;
      }
    }
    return count;
  }

  /**
   * Returns the number of this host's requests that broke at engines at which no request with all
   * of the given parts broke.
   */
  int countUnrelated(Collection<String> parts, long sinceMillis) {
    Set<String> related = new HashSet<>();
    for (Broken broken : requests) {
      if (broken.suspects().containsAll(parts)) {
        related.add(broken.incarnation());
      }
    }
    return (int)
        requests.stream()
            .filter(broken -> broken.own() && broken.atMillis() >= sinceMillis)
            .filter(broken -> !related.contains(broken.incarnation()))
            .count();
  }
}
