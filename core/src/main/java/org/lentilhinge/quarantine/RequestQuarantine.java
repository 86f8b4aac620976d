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

/**
 * Refuses requests that crash endpoints, so that each further one would cost another endpoint. They
 * are recognized by their prompt or as a whole. Prompts share parts: a combination of parts is
 * quarantined once several engines have crashed on it, no request with it has survived, and other
 * requests hardly ever break. The digest of a whole request is quarantined once several endpoints
 * have crashed while it was in flight and no response to it has been complete.
 */
public final class RequestQuarantine {

  /** The minimum number of independent crashes. Two may be a coincidence. */
  private static final int MINIMUM_CRASHES = 3;

  /**
   * The minimum number of crashes of a request to which a response was complete before. Such a
   * request is only fatal if the endpoints have changed.
   */
  private static final int MINIMUM_CRASHES_AFTER_COMPLETION = 8;

  /** The maximum probability that requests with a sound part break so often in a row. */
  private static final double MAXIMUM_FALSE_PROBABILITY = 0.000_001;

  /**
   * The duration of a quarantine, in milliseconds. Engines may have been repaired by then; if not,
   * a single crash within the same time starts the quarantine again.
   */
  private static final long QUARANTINE_MILLIS = 600_000;

  /**
   * The number of crashes from which on a request is not sent to another endpoint by the host that
   * sent it. Its caller may send it again.
   */
  private static final int SUSPICIOUS_CRASHES = 2;

  /**
   * The time after a crash at which the store no longer lists the endpoint, in milliseconds: three
   * heartbeats of 1,200 ms and the time until the listing has been read.
   */
  public static final long EXPIRY_MILLIS = 6_000;

  private static final int MAXIMUM_QUARANTINES = 64;
  private static final int MAXIMUM_UNSENT = 256;

  /** The interval at which a quarantine is announced to hosts that started later. */
  private static final long ANNOUNCEMENT_MILLIS = 1_000;

  private final Random random;
  private final BrokenRequests broken = new BrokenRequests(QUARANTINE_MILLIS);
  private final CrashedRequests crashed = new CrashedRequests(QUARANTINE_MILLIS);
  private final SurvivalRate survivals = new SurvivalRate();
  private final Map<QuarantineKey, Quarantine> quarantines = new HashMap<>();
  private final Map<QuarantineKey, Long> liftedAtMillis = new HashMap<>();
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
   * Creates a quarantine that refuses nothing.
   *
   * @param random spreads the announcements of many hosts
   */
  public RequestQuarantine(Random random) {
    this.random = random;
  }

  /**
   * Returns how long a request will be refused.
   *
   * @param parts the shared parts of the prompt
   * @param digest the digest of the request
   * @param nowMillis the current time, in milliseconds
   * @return the remaining time, in milliseconds, or empty if the request may be sent
   */
  public OptionalLong remainingMillis(List<String> parts, String digest, long nowMillis) {
    return quarantines.entrySet().stream()
        .filter(entry -> entry.getValue().isActive(nowMillis))
        .filter(entry -> entry.getKey().matches(parts, digest))
        .mapToLong(entry -> entry.getValue().sinceMillis + QUARANTINE_MILLIS - nowMillis)
        .max();
  }

  /**
   * Returns whether a request that may have run should not be sent to another endpoint.
   *
   * @param digest the digest of the request
   * @return whether more than one endpoint has crashed while such a request was in flight
   */
  public boolean isSuspected(String digest) {
    return crashed.count(digest) >= SUSPICIOUS_CRASHES;
  }

  /**
   * Records that the connection of a request of this host ended. The run has the parts of the
   * prompt if the response had not gone on after its beginning, and the digest if the endpoint may
   * have crashed.
   *
   * @param run the run
   * @param nowMillis the current time, in milliseconds
   * @return the resulting changes
   */
  public List<QuarantineChange> recordBroken(RequestRun run, long nowMillis) {
    if (run.isAnonymous()) {
      return List.of();
    }
    send(RequestObservation.Kind.BROKEN, run, nowMillis);
    return addBroken(run, true, nowMillis, nowMillis);
  }

  /**
   * Records that an endpoint responds to a request of this host. The run has the parts of the
   * prompt once the response has gone on after its beginning, and the digest once it is complete.
   *
   * @param run the run
   * @param nowMillis the current time, in milliseconds
   * @return the resulting changes
   */
  public List<QuarantineChange> recordSurvived(RequestRun run, long nowMillis) {
    if (!run.parts().isEmpty()) {
      survivals.record(nowMillis);
    }
    List<QuarantineChange> changes = new ArrayList<>();
    if (clear(run, nowMillis, changes)) {
      send(RequestObservation.Kind.SURVIVED, run, nowMillis);
    }
    return changes;
  }

  /** Clears what survived; returns whether anything was cleared. */
  private boolean clear(RequestRun run, long atMillis, List<QuarantineChange> changes) {
    boolean cleared = broken.clear(run.incarnation(), run.parts(), run.startedAtMillis(), atMillis);
    if (!run.digest().isEmpty()) {
      cleared |= crashed.complete(run.digest(), atMillis);
    }
    Set<String> digests =
        crashed.clearResponding(run.incarnation(), run.startedAtMillis(), atMillis);
    liftUnfounded(digests, atMillis, changes);
    Optional<QuarantineChange> lifted = lift(run.parts(), run.digest(), atMillis);
    lifted.ifPresent(changes::add);
    return cleared || lifted.isPresent() || !digests.isEmpty();
  }

  /**
   * Returns the incarnations that seem to have crashed so long ago that the store lists them only
   * if they go on.
   *
   * @param nowMillis the current time, in milliseconds
   * @return the incarnations to look up
   */
  public Set<String> unconfirmedCrashes(long nowMillis) {
    return crashed.unconfirmedBefore(nowMillis - EXPIRY_MILLIS);
  }

  /**
   * Records whether an incarnation that seemed to have crashed is still listed by the store.
   *
   * @param incarnation the incarnation
   * @param listed whether it is listed
   * @param nowMillis the current time, in milliseconds
   * @return the resulting changes
   */
  public List<QuarantineChange> recordListed(String incarnation, boolean listed, long nowMillis) {
    List<QuarantineChange> changes = new ArrayList<>();
    if (listed) {
      liftUnfounded(crashed.remove(incarnation), nowMillis, changes);
    } else {
      crashed.confirm(incarnation);
    }
    return changes;
  }

  /** Lifts the quarantines of requests that have lost a crash, unless enough of them are left. */
  private void liftUnfounded(Set<String> digests, long nowMillis, List<QuarantineChange> changes) {
    for (String digest : digests) {
      QuarantineKey key = QuarantineKey.ofDigest(digest);
      if (quarantines.containsKey(key) && crashed.count(digest) < MINIMUM_CRASHES) {
        changes.add(lift(key, QuarantineChange.Cause.NO_CRASHES, nowMillis));
        RequestRun unfounded = new RequestRun("", List.of(), digest, nowMillis);
        send(RequestObservation.Kind.LIFTED, unfounded, nowMillis);
      }
    }
  }

  /**
   * Handles an observation of another host.
   *
   * @param observation the observation
   * @param nowMillis the current time, in milliseconds
   * @return the resulting changes
   */
  public List<QuarantineChange> receive(RequestObservation observation, long nowMillis) {
    long atMillis = nowMillis - observation.ageMillis();
    long startedAtMillis = nowMillis - observation.startAgeMillis();
    RequestRun run =
        new RequestRun(
            observation.incarnation(), observation.parts(), observation.digest(), startedAtMillis);
    if (observation.kind() == RequestObservation.Kind.BROKEN) {
      return addBroken(run, false, atMillis, nowMillis);
    }
    if (observation.kind() == RequestObservation.Kind.SURVIVED) {
      List<QuarantineChange> changes = new ArrayList<>();
      clear(run, atMillis, changes);
      return changes;
    }
    QuarantineKey key = new QuarantineKey(Set.copyOf(run.parts()), run.digest());
    if (observation.kind() == RequestObservation.Kind.LIFTED) {
      return receiveLifted(key, atMillis, nowMillis);
    }
    return adopt(key, atMillis, startedAtMillis, nowMillis).stream().toList();
  }

  /**
   * Lifts a quarantine that another host has lifted, or starts it anew if enough crashes are known
   * here, so that hosts that have missed them adopt it again.
   */
  private List<QuarantineChange> receiveLifted(QuarantineKey key, long atMillis, long nowMillis) {
    if (!quarantines.containsKey(key)) {
      return List.of();
    }
    int crashes = crashed.count(key.digest());
    QuarantineChange change =
        crashes < MINIMUM_CRASHES
            ? lift(key, QuarantineChange.Cause.NO_CRASHES, atMillis)
            : start(key, crashes, crashed.firstAtMillis(key.digest()), nowMillis);
    return List.of(change);
  }

  private List<QuarantineChange> addBroken(
      RequestRun run, boolean own, long atMillis, long nowMillis) {
    List<QuarantineChange> changes = new ArrayList<>();
    if (!run.digest().isEmpty()) {
      addCrash(run, atMillis, nowMillis).ifPresent(changes::add);
    }
    if (!run.parts().isEmpty()) {
      addBrokenParts(run, own, atMillis, nowMillis).ifPresent(changes::add);
    }
    return changes;
  }

  private Optional<QuarantineChange> addCrash(RequestRun run, long atMillis, long nowMillis) {
    crashed.expire(nowMillis);
    crashed.add(run, atMillis);
    QuarantineKey key = QuarantineKey.ofDigest(run.digest());
    Quarantine known = quarantines.get(key);
    boolean active = known != null && known.isActive(nowMillis);
    int crashes = crashed.count(run.digest());
    int minimum =
        crashed.hasCompleted(run.digest()) ? MINIMUM_CRASHES_AFTER_COMPLETION : MINIMUM_CRASHES;
    boolean certain = crashes >= minimum || (known != null && crashes > 0);
    return certain && !active
        ? Optional.of(start(key, crashes, crashed.firstAtMillis(run.digest()), nowMillis))
        : Optional.empty();
  }

  private Optional<QuarantineChange> addBrokenParts(
      RequestRun run, boolean own, long atMillis, long nowMillis) {
    broken.expire(nowMillis);
    broken.add(run.incarnation(), run.parts(), own, atMillis);
    for (Map.Entry<QuarantineKey, Quarantine> entry : quarantines.entrySet()) {
      QuarantineKey key = entry.getKey();
      if (!key.parts().isEmpty() && run.parts().containsAll(key.parts())) {
        if (!entry.getValue().isActive(nowMillis)) {
          return Optional.of(start(key, 1, atMillis, nowMillis));
        }
        broken.removeExplained(key.parts());
        return Optional.empty();
      }
    }
    BrokenRequests.Suspicion suspicion = broken.strongestSuspicion();
    return isCertain(suspicion, nowMillis)
        ? Optional.of(
            start(
                QuarantineKey.ofParts(suspicion.parts()),
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
      QuarantineKey key, int crashes, long evidenceSinceMillis, long nowMillis) {
    put(key, new Quarantine(nowMillis, evidenceSinceMillis));
    removeExplained(key);
    send(
        RequestObservation.Kind.QUARANTINED,
        new RequestRun("", List.copyOf(key.parts()), key.digest(), evidenceSinceMillis),
        nowMillis);
    return change(QuarantineChange.Cause.CRASHES, key, crashes);
  }

  private void removeExplained(QuarantineKey key) {
    if (!key.parts().isEmpty()) {
      broken.removeExplained(key.parts());
    }
  }

  private static QuarantineChange change(
      QuarantineChange.Cause cause, QuarantineKey key, int crashes) {
    return new QuarantineChange(
        cause, key.parts().stream().sorted().toList(), key.digest(), crashes);
  }

  private void put(QuarantineKey key, Quarantine quarantine) {
    if (quarantines.size() >= MAXIMUM_QUARANTINES) {
      quarantines.entrySet().stream()
          .min(
              (first, second) ->
                  Long.compare(first.getValue().sinceMillis, second.getValue().sinceMillis))
          .map(Map.Entry::getKey)
          .ifPresent(quarantines::remove);
    }
    quarantines.put(key, quarantine);
  }

  private Optional<QuarantineChange> adopt(
      QuarantineKey key, long sinceMillis, long evidenceSinceMillis, long nowMillis) {
    Quarantine known = quarantines.get(key);
    if (known != null && known.isActive(nowMillis)) {
      // Its own time is kept: that of the announcement is later by the time on the way.
      known.announceAtMillis = nextAnnouncement(nowMillis);
      return Optional.empty();
    }
    if (key.isEmpty() || nowMillis - sinceMillis >= QUARANTINE_MILLIS) {
      return Optional.empty();
    }
    boolean refuted = isRefuted(key, evidenceSinceMillis);
    if (refuted || liftedAtMillis.getOrDefault(key, Long.MIN_VALUE) >= sinceMillis) {
      // The announcing host has not received that the quarantine has ended.
      RequestObservation.Kind kind =
          refuted || key.digest().isEmpty()
              ? RequestObservation.Kind.SURVIVED
              : RequestObservation.Kind.LIFTED;
      RequestRun ended = new RequestRun("", List.copyOf(key.parts()), key.digest(), nowMillis);
      send(kind, ended, nowMillis);
      return Optional.empty();
    }
    Quarantine adopted = new Quarantine(sinceMillis, evidenceSinceMillis);
    adopted.announceAtMillis = nextAnnouncement(nowMillis);
    put(key, adopted);
    removeExplained(key);
    return Optional.of(change(QuarantineChange.Cause.OTHER_HOST, key, 0));
  }

  /**
   * Indicates whether such a request is known to have survived: with a part since the first crash,
   * with the digest at all, as a fatal request never does.
   */
  private boolean isRefuted(QuarantineKey key, long evidenceSinceMillis) {
    return key.parts().size() == 1
        ? broken.hasSurvivedSince(key.parts().iterator().next(), evidenceSinceMillis)
        : crashed.hasCompleted(key.digest())
            && crashed.count(key.digest()) < MINIMUM_CRASHES_AFTER_COMPLETION;
  }

  private Optional<QuarantineChange> lift(
      Collection<String> survivedParts, String completeDigest, long atMillis) {
    for (QuarantineKey key : Set.copyOf(quarantines.keySet())) {
      if (key.matches(survivedParts, completeDigest)
          && quarantines.get(key).evidenceSinceMillis < atMillis) {
        return Optional.of(lift(key, QuarantineChange.Cause.SURVIVED, atMillis));
      }
    }
    return Optional.empty();
  }

  private QuarantineChange lift(QuarantineKey key, QuarantineChange.Cause cause, long atMillis) {
    quarantines.remove(key);
    if (liftedAtMillis.size() >= MAXIMUM_QUARANTINES) {
      liftedAtMillis.clear();
    }
    liftedAtMillis.put(key, atMillis);
    return change(cause, key, 0);
  }

  private long nextAnnouncement(long nowMillis) {
    return nowMillis + ANNOUNCEMENT_MILLIS + random.nextInt((int) ANNOUNCEMENT_MILLIS);
  }

  private void send(RequestObservation.Kind kind, RequestRun run, long nowMillis) {
    if (unsent.size() >= MAXIMUM_UNSENT) {
      unsent.removeFirst();
    }
    RequestObservation observation =
        new RequestObservation(
            kind,
            run.incarnation(),
            run.parts(),
            run.digest(),
            nowMillis - run.startedAtMillis(),
            0);
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
        (key, entry) -> {
          if (entry.isActive(nowMillis) && nowMillis >= entry.announceAtMillis) {
            entry.announceAtMillis = nextAnnouncement(nowMillis);
            long ageMillis = nowMillis - entry.sinceMillis;
            observations.add(
                new RequestObservation(
                    RequestObservation.Kind.QUARANTINED,
                    "",
                    List.copyOf(key.parts()),
                    key.digest(),
                    nowMillis - entry.evidenceSinceMillis,
                    ageMillis));
          }
        });
    return observations;
  }
}
