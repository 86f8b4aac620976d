package org.lentilhinge.path;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.lentilhinge.fleet.FleetEndpoint;

/**
 * Decides whether this host has lost its own paths to all endpoints. A connection that fails, or
 * requests that wait while no endpoint sends a byte, are a reason for probes of other endpoints. If
 * all probes fail while another host is answered by endpoints that this one does not reach, the
 * paths are down. Later probes find out when they are back.
 *
 * <p>One endpoint that fails or falls silent proves nothing: probes of the others succeed.
 */
public final class PathMonitor {

  /** The time for which a new connection may be pending without suspicion, in milliseconds. */
  private static final long SLOW_CONNECT_MILLIS = 300;

  /**
   * The time for which requests may wait while no endpoint sends a byte, without suspicion, in
   * milliseconds.
   */
  private static final long SILENCE_MILLIS = 700;

  /** The time after which a failure is no reason for probes any more, in milliseconds. */
  private static final long FAILURE_EXPIRY_MILLIS = 2_000;

  /** The time for which a response proves that a host reaches an endpoint, in milliseconds. */
  private static final long RESPONSE_EXPIRY_MILLIS = 1_000;

  /** The number of endpoints that are probed at once. */
  private static final int PROBES = 3;

  /** The interval between rounds of probes, in milliseconds; each round opens connections. */
  private static final long ROUND_INTERVAL_MILLIS = 500;

  /**
   * The number of successive rounds of failed probes that are needed if another host reaches an
   * endpoint. The endpoints of a single round may have failed at the same time.
   */
  private static final int PROVING_ROUNDS = 2;

  /**
   * The same number if no host is known to reach an endpoint: all hosts may be cut off, or all
   * endpoints may have failed.
   */
  private static final int UNCONFIRMED_PROVING_ROUNDS = 3;

  /** The number of successive probes that must succeed after a cut. */
  private static final int RECOVERY_PROBES = 2;

  /** The gap between ticks above which this host's own pause explains silence, in milliseconds. */
  private static final long MAXIMUM_TICK_GAP_MILLIS = 250;

  private final Random random;
  private final Map<String, Long> failedAtMillis = new HashMap<>();
  private final Map<String, Pending> connecting = new HashMap<>();
  private final Map<String, Pending> waiting = new HashMap<>();
  private final Map<String, Long> respondedAtMillis = new HashMap<>();
  private final Set<String> probed = new HashSet<>();
  private final Set<String> failedProbes = new HashSet<>();
  private State state = State.OPEN;
  private long progressAtMillis = Long.MIN_VALUE / 2;
  private boolean confirmed;
  private int failedRounds;
  private int recoveredProbes;
  private long nextRoundAtMillis = Long.MIN_VALUE;
  private long lastTickAtMillis = Long.MIN_VALUE;

  /** The states of this host's paths. */
  public enum State {
    /** Nothing suggests that the paths are down. */
    OPEN,
    /** Probes find out whether the paths are down. */
    SUSPECTED,
    /** This host reaches no endpoint. */
    CUT_OFF
  }

  /** Connections or requests that wait for an endpoint, and since when without any progress. */
  private static final class Pending {
    private int count;
    private long sinceMillis;
  }

  /**
   * Creates a monitor of open paths.
   *
   * @param random selects the endpoints to probe
   */
  public PathMonitor(Random random) {
    this.random = random;
  }

  /**
   * Returns the state.
   *
   * @return the state of this host's paths
   */
  public State state() {
    return state;
  }

  /**
   * Records that a new connection is being opened.
   *
   * @param incarnation the incarnation of the endpoint
   * @param nowMillis the current time, in milliseconds
   */
  public void recordConnecting(String incarnation, long nowMillis) {
    add(connecting, incarnation, nowMillis);
  }

  /**
   * Records that a new connection was opened or has failed.
   *
   * @param incarnation the incarnation of the endpoint
   * @param success whether it was opened
   * @param nowMillis the current time, in milliseconds
   */
  public void recordConnect(String incarnation, boolean success, long nowMillis) {
    remove(connecting, incarnation);
    if (success) {
      failedAtMillis.remove(incarnation);
    } else {
      failedAtMillis.put(incarnation, nowMillis);
    }
  }

  /**
   * Records that a request was sent.
   *
   * @param incarnation the incarnation of the endpoint
   * @param nowMillis the current time, in milliseconds
   */
  public void recordRequest(String incarnation, long nowMillis) {
    add(waiting, incarnation, nowMillis);
  }

  /**
   * Records that a response has begun.
   *
   * @param incarnation the incarnation of the endpoint
   * @param nowMillis the current time, in milliseconds
   */
  public void recordResponse(String incarnation, long nowMillis) {
    respondedAtMillis.put(incarnation, nowMillis);
    progressAtMillis = nowMillis;
    Pending pending = waiting.get(incarnation);
    if (pending != null) {
      pending.sinceMillis = nowMillis;
    }
  }

  /**
   * Records that an endpoint has sent a part of a response.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void recordProgress(long nowMillis) {
    progressAtMillis = nowMillis;
  }

  /**
   * Records that a request has ended.
   *
   * @param incarnation the incarnation of the endpoint
   * @param broken whether its connection ended before any response
   * @param nowMillis the current time, in milliseconds
   */
  public void recordRequestEnd(String incarnation, boolean broken, long nowMillis) {
    remove(waiting, incarnation);
    if (broken) {
      failedAtMillis.put(incarnation, nowMillis);
    }
  }

  private static void add(Map<String, Pending> entries, String incarnation, long nowMillis) {
    Pending pending = entries.computeIfAbsent(incarnation, unused -> new Pending());
    if (pending.count == 0) {
      pending.sinceMillis = nowMillis;
    }
    pending.count++;
  }

  private static void remove(Map<String, Pending> entries, String incarnation) {
    Pending pending = entries.get(incarnation);
    if (pending != null) {
      pending.count--;
      if (pending.count <= 0) {
        entries.remove(incarnation);
      }
    }
  }

  /**
   * Returns how many of some endpoints this host reaches.
   *
   * @param incarnations the incarnations of endpoints
   * @param nowMillis the current time, in milliseconds
   * @return the number of those that responded a short time ago
   */
  public int countReached(Collection<String> incarnations, long nowMillis) {
    return (int)
        incarnations.stream()
            .filter(
                incarnation ->
                    nowMillis - respondedAtMillis.getOrDefault(incarnation, Long.MIN_VALUE / 2)
                        <= RESPONSE_EXPIRY_MILLIS)
            .count();
  }

  /**
   * Returns the endpoints that this host does not reach, as far as it knows.
   *
   * @param nowMillis the current time, in milliseconds
   * @return their incarnations
   */
  public List<String> unreached(long nowMillis) {
    Set<String> unreached = new HashSet<>(failedAtMillis.keySet());
    unreached.addAll(failedProbes);
    unreached.addAll(slow(connecting, SLOW_CONNECT_MILLIS, nowMillis));
    unreached.addAll(slow(waiting, SILENCE_MILLIS, nowMillis));
    return List.copyOf(unreached);
  }

  private static Set<String> slow(Map<String, Pending> entries, long millis, long nowMillis) {
    Set<String> slow = new HashSet<>();
    entries.forEach(
        (incarnation, pending) -> {
          if (nowMillis - pending.sinceMillis > millis) {
            slow.add(incarnation);
          }
        });
    return slow;
  }

  /**
   * Selects the endpoints to which a connection is to be opened as a probe. Must be called several
   * times per second.
   *
   * @param endpoints the endpoints that are in use
   * @param nowMillis the current time, in milliseconds
   * @return the endpoints to probe; empty if no probes are due
   */
  public List<FleetEndpoint> onTick(Collection<FleetEndpoint> endpoints, long nowMillis) {
    boolean paused =
        lastTickAtMillis != Long.MIN_VALUE
            && nowMillis - lastTickAtMillis > MAXIMUM_TICK_GAP_MILLIS;
    lastTickAtMillis = nowMillis;
    if (paused) {
      connecting.values().forEach(pending -> pending.sinceMillis = nowMillis);
      waiting.values().forEach(pending -> pending.sinceMillis = nowMillis);
      progressAtMillis = nowMillis;
    }
    failedAtMillis.values().removeIf(failed -> nowMillis - failed > FAILURE_EXPIRY_MILLIS);
    respondedAtMillis.values().removeIf(at -> nowMillis - at > RESPONSE_EXPIRY_MILLIS);
    if (!probed.isEmpty() || nowMillis < nextRoundAtMillis) {
      return List.of();
    }
    if (state == State.CUT_OFF) {
      return beginRound(select(endpoints, 1), nowMillis);
    }
    if (isSuspicious(nowMillis)) {
      if (state == State.OPEN) {
        confirmed = false;
        failedProbes.clear();
      }
      state = State.SUSPECTED;
      return beginRound(select(endpoints, PROBES), nowMillis);
    }
    state = State.OPEN;
    failedRounds = 0;
    return List.of();
  }

  private boolean isSuspicious(long nowMillis) {
    return !failedAtMillis.isEmpty()
        || !slow(connecting, SLOW_CONNECT_MILLIS, nowMillis).isEmpty()
        || nowMillis - progressAtMillis > SILENCE_MILLIS
            && !slow(waiting, SILENCE_MILLIS, nowMillis).isEmpty();
  }

  private List<FleetEndpoint> beginRound(List<FleetEndpoint> selected, long nowMillis) {
    nextRoundAtMillis =
        nowMillis + ROUND_INTERVAL_MILLIS / 2 + random.nextInt((int) ROUND_INTERVAL_MILLIS);
    selected.forEach(endpoint -> probed.add(endpoint.incarnation()));
    return selected;
  }

  private boolean hasFailed(FleetEndpoint endpoint) {
    return failedAtMillis.containsKey(endpoint.incarnation())
        || failedProbes.contains(endpoint.incarnation());
  }

  /** Selects endpoints of different services, those without a known failure first. */
  private List<FleetEndpoint> select(Collection<FleetEndpoint> endpoints, int count) {
    List<FleetEndpoint> shuffled = new ArrayList<>(endpoints);
    Collections.shuffle(shuffled, random);
    shuffled.sort((first, second) -> Boolean.compare(hasFailed(first), hasFailed(second)));
    List<FleetEndpoint> selected = new ArrayList<>();
    Set<String> services = new HashSet<>();
    for (FleetEndpoint endpoint : shuffled) {
      if (selected.size() < count && services.add(endpoint.service())) {
        selected.add(endpoint);
      }
    }
    for (FleetEndpoint endpoint : shuffled) {
      if (selected.size() < count && !selected.contains(endpoint)) {
        selected.add(endpoint);
      }
    }
    return selected;
  }

  /**
   * Records the result of a probe.
   *
   * @param incarnation the incarnation of the endpoint
   * @param success whether a connection was opened
   * @return whether this changes the state to or from {@link State#CUT_OFF}
   */
  public boolean recordProbe(String incarnation, boolean success) {
    if (!probed.remove(incarnation)) {
      return false;
    }
    if (state == State.CUT_OFF) {
      return recordRecoveryProbe(success);
    }
    if (success) {
      state = State.OPEN;
      probed.clear();
      failedRounds = 0;
      failedProbes.clear();
      failedAtMillis.clear();
      return false;
    }
    failedProbes.add(incarnation);
    if (probed.isEmpty()) {
      failedRounds++;
      // The second round follows at once.
      nextRoundAtMillis = failedRounds < PROVING_ROUNDS ? Long.MIN_VALUE : nextRoundAtMillis;
    }
    return cutOffIfProved();
  }

  private boolean recordRecoveryProbe(boolean success) {
    recoveredProbes = success ? recoveredProbes + 1 : 0;
    if (success) {
      // The next endpoint is probed at once.
      nextRoundAtMillis = Long.MIN_VALUE;
    }
    if (recoveredProbes < RECOVERY_PROBES) {
      return false;
    }
    state = State.OPEN;
    failedAtMillis.clear();
    failedProbes.clear();
    return true;
  }

  /**
   * Records that another host is answered by endpoints that this host does not reach.
   *
   * @return whether this changes the state to {@link State#CUT_OFF}
   */
  public boolean recordReachedElsewhere() {
    if (state != State.SUSPECTED) {
      return false;
    }
    confirmed = true;
    return cutOffIfProved();
  }

  private boolean cutOffIfProved() {
    boolean finished = state == State.SUSPECTED && probed.isEmpty();
    boolean proved =
        finished && failedRounds >= (confirmed ? PROVING_ROUNDS : UNCONFIRMED_PROVING_ROUNDS);
    if (proved) {
      state = State.CUT_OFF;
      failedRounds = 0;
      recoveredProbes = 0;
    }
    return proved;
  }
}
