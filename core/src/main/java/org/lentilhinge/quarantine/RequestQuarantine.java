package org.lentilhinge.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Refuses requests whose prompt crashes engines. Prompts share parts, and one part may crash every
 * engine that answers it, so that each further request costs another engine. A combination of parts
 * is quarantined once several engines have crashed on it, no request with it has survived, and
 * other requests hardly ever break.
 */
public final class RequestQuarantine {

  /** The minimum number of independent crashes. Two may be a coincidence. */
  private static final int MINIMUM_CRASHES = 3;

  /** The maximum probability that requests with a sound part break so often in a row. */
  private static final double MAXIMUM_FALSE_PROBABILITY = 0.000_001;

  /**
   * The duration of a quarantine, in milliseconds. Engines may have been repaired by then; if not,
   * a single crash within the same time starts the quarantine again.
   */
  private static final long QUARANTINE_MILLIS = 600_000;

  private static final int MAXIMUM_QUARANTINES = 64;
  private static final int MAXIMUM_PARTS = 16;
  private static final int MAXIMUM_UNSENT = 256;

  /** The interval at which a quarantine is announced to hosts that started later. */
  private static final long ANNOUNCEMENT_MILLIS = 1_000;

  private final Random random;
  private final BrokenRequests broken = new BrokenRequests(QUARANTINE_MILLIS);
  private final SurvivalRate survivals = new SurvivalRate();
  private final Map<Set<String>, Quarantine> quarantines = new HashMap<>();
  private final Map<Set<String>, Long> liftedAtMillis = new HashMap<>();
  private final Deque<Unsent> unsent = new ArrayDeque<>();

  private static final class Quarantine {
    private final long sinceMillis;

    /** The time of the first crash that led to the quarantine, in milliseconds. */
    private final long evidenceSinceMillis;

    private long announceAtMillis;

    private Quarantine(long sinceMillis, long evidenceSinceMillis) {
      this.sinceMillis = sinceMillis;
      this.evidenceSinceMillis = evidenceSinceMillis;
    }

    private boolean isActive(long nowMillis) {
      return nowMillis - sinceMillis < QUARANTINE_MILLIS;
    }
  }

  private record Unsent(RequestObservation observation, long sinceMillis) {}

  /**
   * Creates a quarantine without any parts.
   *
   * @param random spreads the announcements of many hosts
   */
  public RequestQuarantine(Random random) {
    this.random = random;
  }

  /**
   * Returns how long requests with these parts will be refused.
   *
   * @param parts the shared parts of the prompt
   * @param nowMillis the current time, in milliseconds
   * @return the remaining time, in milliseconds, or empty if the request may be sent
   */
  public OptionalLong remainingMillis(List<String> parts, long nowMillis) {
    return quarantines.entrySet().stream()
        .filter(entry -> entry.getValue().isActive(nowMillis) && parts.containsAll(entry.getKey()))
        .mapToLong(entry -> entry.getValue().sinceMillis + QUARANTINE_MILLIS - nowMillis)
        .max();
  }

  /**
   * Records that the connection of a request of this host ended before the response began.
   *
   * @param incarnation the incarnation of the engine
   * @param parts the shared parts of the prompt
   * @param startedAtMillis the time at which the request was sent, in milliseconds
   * @param nowMillis the current time, in milliseconds
   * @return the resulting change, if any
   */
  public Optional<QuarantineChange> recordBroken(
      String incarnation, List<String> parts, long startedAtMillis, long nowMillis) {
    if (parts.isEmpty()) {
      return Optional.empty();
    }
    List<String> recorded = parts.subList(0, Math.min(parts.size(), MAXIMUM_PARTS));
    send(RequestObservation.Kind.BROKEN, incarnation, recorded, startedAtMillis, nowMillis);
    return addBroken(incarnation, recorded, true, nowMillis, nowMillis);
  }

  /**
   * Records that a request of this host survived: its response began and went on.
   *
   * @param incarnation the incarnation of the engine
   * @param parts the shared parts of the prompt
   * @param startedAtMillis the time at which the request was sent, in milliseconds
   * @param nowMillis the current time, in milliseconds
   * @return the resulting change, if any
   */
  public Optional<QuarantineChange> recordSurvived(
      String incarnation, List<String> parts, long startedAtMillis, long nowMillis) {
    if (parts.isEmpty()) {
      return Optional.empty();
    }
    survivals.record(nowMillis);
    Optional<QuarantineChange> lifted = lift(parts, nowMillis);
    if (broken.clear(incarnation, parts, startedAtMillis, nowMillis) || lifted.isPresent()) {
      List<String> sent = parts.subList(0, Math.min(parts.size(), MAXIMUM_PARTS));
      send(RequestObservation.Kind.SURVIVED, incarnation, sent, startedAtMillis, nowMillis);
    }
    return lifted;
  }

  /**
   * Handles an observation of another host.
   *
   * @param observation the observation
   * @param nowMillis the current time, in milliseconds
   * @return the resulting change, if any
   */
  public Optional<QuarantineChange> receive(RequestObservation observation, long nowMillis) {
    long atMillis = nowMillis - observation.ageMillis();
    List<String> parts = observation.parts();
    if (observation.kind() == RequestObservation.Kind.BROKEN) {
      return addBroken(observation.incarnation(), parts, false, atMillis, nowMillis);
    }
    if (observation.kind() == RequestObservation.Kind.SURVIVED) {
      long startedAtMillis = nowMillis - observation.startAgeMillis();
      broken.clear(observation.incarnation(), parts, startedAtMillis, atMillis);
      return lift(parts, atMillis);
    }
    return adopt(
        new TreeSet<>(parts), atMillis, nowMillis - observation.startAgeMillis(), nowMillis);
  }

  private Optional<QuarantineChange> addBroken(
      String incarnation, List<String> parts, boolean own, long atMillis, long nowMillis) {
    broken.expire(nowMillis);
    broken.add(incarnation, parts, own, atMillis);
    for (Map.Entry<Set<String>, Quarantine> entry : quarantines.entrySet()) {
      if (parts.containsAll(entry.getKey())) {
        if (!entry.getValue().isActive(nowMillis)) {
          return Optional.of(start(entry.getKey(), 1, atMillis, nowMillis));
        }
        broken.removeExplained(entry.getKey());
        return Optional.empty();
      }
    }
    BrokenRequests.Suspicion suspicion = broken.strongestSuspicion();
    return isCertain(suspicion, nowMillis)
        ? Optional.of(
            start(
                new TreeSet<>(suspicion.parts()),
                suspicion.crashes(),
                suspicion.firstAtMillis(),
                nowMillis))
        : Optional.empty();
  }

  private boolean isCertain(BrokenRequests.Suspicion suspicion, long nowMillis) {
    if (suspicion.crashes() < MINIMUM_CRASHES) {
      return false;
    }
    int unrelated =
        broken.countUnrelated(suspicion.parts(), nowMillis - SurvivalRate.WINDOW_MILLIS);
    int survived = survivals.count(nowMillis);
    // One request is added, so that few observations do not make it certain.
    double breakProbability = (unrelated + 1.0) / (unrelated + survived + 1.0);
    return Math.pow(breakProbability, suspicion.crashes()) <= MAXIMUM_FALSE_PROBABILITY;
  }

  private QuarantineChange start(
      Set<String> parts, int crashes, long evidenceSinceMillis, long nowMillis) {
    put(parts, new Quarantine(nowMillis, evidenceSinceMillis));
    broken.removeExplained(parts);
    send(
        RequestObservation.Kind.QUARANTINED,
        "",
        List.copyOf(parts),
        evidenceSinceMillis,
        nowMillis);
    return new QuarantineChange(QuarantineChange.Cause.CRASHES, List.copyOf(parts), crashes);
  }

  private void put(Set<String> parts, Quarantine quarantine) {
    if (quarantines.size() >= MAXIMUM_QUARANTINES) {
      quarantines.entrySet().stream()
          .min(
              (first, second) ->
                  Long.compare(first.getValue().sinceMillis, second.getValue().sinceMillis))
          .map(Map.Entry::getKey)
          .ifPresent(quarantines::remove);
    }
    quarantines.put(parts, quarantine);
  }

  private Optional<QuarantineChange> adopt(
      Set<String> parts, long sinceMillis, long evidenceSinceMillis, long nowMillis) {
    Quarantine known = quarantines.get(parts);
    if (known != null && known.isActive(nowMillis)) {
      // Its own time is kept: that of the announcement is later by the time on the way.
      known.announceAtMillis = nextAnnouncement(nowMillis);
      return Optional.empty();
    }
    boolean obsolete =
        parts.isEmpty()
            || nowMillis - sinceMillis >= QUARANTINE_MILLIS
            || liftedAtMillis.getOrDefault(parts, Long.MIN_VALUE) >= sinceMillis;
    if (obsolete) {
      return Optional.empty();
    }
    boolean refuted =
        parts.size() == 1 && broken.hasSurvivedSince(parts.iterator().next(), evidenceSinceMillis);
    if (refuted) {
      send(RequestObservation.Kind.SURVIVED, "", List.copyOf(parts), nowMillis, nowMillis);
      return Optional.empty();
    }
    Quarantine adopted = new Quarantine(sinceMillis, evidenceSinceMillis);
    adopted.announceAtMillis = nextAnnouncement(nowMillis);
    put(parts, adopted);
    broken.removeExplained(parts);
    return Optional.of(
        new QuarantineChange(QuarantineChange.Cause.OTHER_HOST, List.copyOf(parts), 0));
  }

  private Optional<QuarantineChange> lift(Collection<String> survivedParts, long atMillis) {
    if (quarantines.isEmpty() || survivedParts.isEmpty()) {
      return Optional.empty();
    }
    for (Set<String> parts : Set.copyOf(quarantines.keySet())) {
      if (survivedParts.containsAll(parts)
          && quarantines.get(parts).evidenceSinceMillis < atMillis) {
        quarantines.remove(parts);
        if (liftedAtMillis.size() >= MAXIMUM_QUARANTINES) {
          liftedAtMillis.clear();
        }
        liftedAtMillis.put(parts, atMillis);
        return Optional.of(
            new QuarantineChange(QuarantineChange.Cause.SURVIVED, List.copyOf(parts), 0));
      }
    }
    return Optional.empty();
  }

  private long nextAnnouncement(long nowMillis) {
    return nowMillis + ANNOUNCEMENT_MILLIS + random.nextInt((int) ANNOUNCEMENT_MILLIS);
  }

  private void send(
      RequestObservation.Kind kind,
      String incarnation,
      List<String> parts,
      long startedAtMillis,
      long nowMillis) {
    if (unsent.size() >= MAXIMUM_UNSENT) {
      unsent.removeFirst();
    }
    RequestObservation observation =
        new RequestObservation(kind, incarnation, parts, nowMillis - startedAtMillis, 0);
    unsent.addLast(new Unsent(observation, nowMillis));
  }

  /**
   * Returns the observations that the other hosts do not know yet, and the quarantines that are due
   * to be announced again.
   *
   * @param nowMillis the current time, in milliseconds
   * @return the observations to send
   */
  public List<RequestObservation> takeUnsent(long nowMillis) {
    List<RequestObservation> observations = new ArrayList<>();
    for (Unsent entry : unsent) {
      observations.add(entry.observation().delayed(nowMillis - entry.sinceMillis()));
    }
    unsent.clear();
    quarantines.values().removeIf(entry -> nowMillis - entry.sinceMillis > 2 * QUARANTINE_MILLIS);
    quarantines.forEach(
        (parts, entry) -> {
          if (entry.isActive(nowMillis) && nowMillis >= entry.announceAtMillis) {
            entry.announceAtMillis = nextAnnouncement(nowMillis);
            long ageMillis = nowMillis - entry.sinceMillis;
            observations.add(
                new RequestObservation(
                    RequestObservation.Kind.QUARANTINED,
                    "",
                    List.copyOf(parts),
                    nowMillis - entry.evidenceSinceMillis,
                    ageMillis));
          }
        });
    return observations;
  }
}
