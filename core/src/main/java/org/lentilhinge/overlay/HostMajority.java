package org.lentilhinge.overlay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides whether a host is in the majority part of the network. All hosts count that are known to
 * run or that fell silent recently, as these may run in another part. Of two halves, the one with
 * the first host by name is the majority. At most one part of a partition is the majority, as long
 * as the hosts of the other parts fell silent recently. A part that is the majority only because
 * the others have been silent for long is not a certain one: they may run where this host finds no
 * trace of them.
 */
public final class HostMajority {

  /**
   * The time for which a silent host counts as one that may be running in another part of the
   * network, in milliseconds.
   */
  private static final long SILENT_HOST_MILLIS = 30_000;

  /**
   * The time after which a seed does not count that refuses connections, in milliseconds. Until
   * then the settings may name hosts that have ended, and the current ones may not have been
   * contacted.
   */
  private static final long REFUSING_SEED_MILLIS = 7_000;

  /** The time for which a refused connection shows that no host runs there, in milliseconds. */
  private static final long REFUSAL_MILLIS = 5_000;

  private final String self;
  private final Set<String> seeds;
  private final HostView view;
  private final FailureDetector detector;

  // The parts of the last tick. A host is in one of them at most, so they need not be sets. They
  // are filled anew at each tick and kept, because a host may know hundreds of others.
  private final List<String> reached = new ArrayList<>();
  private final List<String> silent = new ArrayList<>();

  private final Map<String, Long> seedNamedAtMillis = new HashMap<>();
  private final Map<String, Long> seedRefusedAtMillis = new HashMap<>();
  private OptionalLong orderedElsewhereAtMillis = OptionalLong.empty();
  private OptionalLong startedAtMillis = OptionalLong.empty();
  private boolean held;
  private boolean heldOnce;
  private boolean reachesAll;
  private long heldAtMillis;

  /**
   * Creates the decision of a host that has just started.
   *
   * @param self the host's name
   * @param seeds the other hosts that the settings name, which may change; they may be running
   */
  HostMajority(String self, Set<String> seeds, HostView view, FailureDetector detector) {
    this.self = self;
    this.seeds = seeds;
    this.view = view;
    this.detector = detector;
    held = seeds.isEmpty();
    heldOnce = held;
    reachesAll = held;
  }

  /** Decides again, after the tick of the membership. */
  void update(Collection<String> neighbors, Set<String> disconnected, long nowMillis) {
    if (startedAtMillis.isEmpty()) {
      startedAtMillis = OptionalLong.of(nowMillis);
      heldAtMillis = nowMillis;
    }
    updateSeeds(nowMillis);
    boolean hearsAll = neighbors.size() >= view.live().size();
    held =
        (hearsAll || hearsNeighbors(neighbors, nowMillis))
            && reachesMajority(disconnected, hearsAll, nowMillis)
            && !isOrderedElsewhere(nowMillis);
    if (held) {
      heldOnce = true;
      heldAtMillis = nowMillis;
    }
  }

  private void updateSeeds(long nowMillis) {
    seedNamedAtMillis.keySet().retainAll(seeds);
    seedRefusedAtMillis.keySet().retainAll(seeds);
    seeds.forEach(seed -> seedNamedAtMillis.putIfAbsent(seed, nowMillis));
  }

  /** Indicates whether a host runs that this host, which knows no other, has not heard of. */
  private boolean isOrderedElsewhere(long nowMillis) {
    return view.live().isEmpty()
        && orderedElsewhereAtMillis.isPresent()
        && nowMillis - orderedElsewhereAtMillis.getAsLong() < SILENT_HOST_MILLIS
        && !outnumbersAbsentHosts();
  }

  /**
   * Records that an engine has accepted an order that this host did not send.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void recordOrderElsewhere(long nowMillis) {
    orderedElsewhereAtMillis = OptionalLong.of(nowMillis);
  }

  /**
   * Records that a host refused a connection, so that no process listens there.
   *
   * @param host the host
   * @param nowMillis the current time, in milliseconds
   */
  public void recordRefusal(String host, long nowMillis) {
    if (seeds.contains(host)) {
      seedRefusedAtMillis.put(host, nowMillis);
    }
  }

  /**
   * Records that a host did not respond, which says nothing of its process.
   *
   * @param host the host
   */
  public void recordNoResponse(String host) {
    seedRefusedAtMillis.remove(host);
  }

  /**
   * Indicates whether as many hosts know this host as live as it has neighbors, where the neighbors
   * are only some of the hosts: the loss of the others is known only once it was gossiped. A silent
   * neighbor is soon replaced. Hosts that have lost this one only try to contact it.
   */
  private boolean hearsNeighbors(Collection<String> neighbors, long nowMillis) {
    return detector.recentlyAcceptedCount(nowMillis) >= neighbors.size();
  }

  private boolean reachesMajority(Set<String> disconnected, boolean hearsAll, long nowMillis) {
    reached.clear();
    silent.clear();
    reached.add(self);
    view.forEachLostSince(nowMillis - SILENT_HOST_MILLIS, silent::add);
    for (HostRecord host : view.live()) {
      if (!host.leaving()) {
        boolean isReached =
            !disconnected.contains(host.host())
                && (!hearsAll || detector.isRecentlyAccepted(host.host(), nowMillis));
        (isReached ? reached : silent).add(host.host());
      }
    }
    for (String seed : seeds) {
      if (view.isUnknown(seed) && mayRun(seed, nowMillis)) {
        silent.add(seed);
      }
    }
    reachesAll = silent.isEmpty();
    return isMajority(reached, silent);
  }

  private boolean mayRun(String seed, long nowMillis) {
    Long refusedAtMillis = seedRefusedAtMillis.get(seed);
    boolean refuses = refusedAtMillis != null && nowMillis - refusedAtMillis < REFUSAL_MILLIS;
    long namedMillis = nowMillis - seedNamedAtMillis.getOrDefault(seed, nowMillis);
    return namedMillis < (refuses ? REFUSING_SEED_MILLIS : SILENT_HOST_MILLIS);
  }

  /**
   * Decides between two parts. Their names are compared only if the parts are of the same size.
   *
   * @param reached the distinct hosts of this part, which has at least one
   * @param silent the distinct hosts that may be running elsewhere; none of them is reached
   * @return whether the reached hosts are the majority
   */
  static boolean isMajority(Collection<String> reached, Collection<String> silent) {
    if (reached.size() != silent.size()) {
      return reached.size() > silent.size();
    }
    return Collections.min(reached).compareTo(Collections.min(silent)) < 0;
  }

  /**
   * Returns whether no other host can be running outside the part of this host.
   *
   * @return whether no host is silent or fell silent recently
   */
  public boolean isWhole() {
    return held && reachesAll;
  }

  /**
   * Returns whether this host would be in the majority even if all hosts ran that are named by the
   * settings or were lost without a planned stop. Otherwise another part may act as the majority.
   *
   * @return whether no other part of the network can take itself for the majority
   */
  public boolean isCertain() {
    return held && outnumbersAbsentHosts();
  }

  private boolean outnumbersAbsentHosts() {
    if (reached.isEmpty()) {
      return held;
    }
    if (reached.size() > silent.size() + view.lostCount() + seeds.size()) {
      return true;
    }
    Set<String> absent = new HashSet<>(silent);
    view.forEachLostSince(Long.MIN_VALUE, absent::add);
    seeds.stream().filter(view::isUnknown).forEach(absent::add);
    return isMajority(reached, absent);
  }

  /**
   * Returns the seeds that were never heard, with what is known of them, for the log.
   *
   * @return alternating names and states, separated by colons and commas
   */
  public String describeUnheardSeeds() {
    return seeds.stream()
        .filter(view::isUnknown)
        .map(seed -> seed + (seedRefusedAtMillis.containsKey(seed) ? ":refused" : ":silent"))
        .collect(Collectors.joining(","));
  }

  /**
   * Returns whether a host that another one knows is live, or is known here to have been lost. A
   * host that is late may know lost hosts as live for long.
   *
   * @param host the host
   * @param lostBeforeMillis the latest time of its loss, in milliseconds
   * @return whether the other host knows nothing newer
   */
  public boolean isKnown(KnownHost host, long lostBeforeMillis) {
    return host.host().equals(self) || view.isKnown(host, lostBeforeMillis);
  }

  /**
   * Returns the hosts that fell silent and may still run.
   *
   * @param sinceMillis the earliest time of the loss, in milliseconds
   * @return when they were lost, in milliseconds, by name
   */
  public Map<String, Long> lostAtMillis(long sinceMillis) {
    return view.lostAtMillis(sinceMillis);
  }

  /**
   * Returns whether the host has been in the majority since it started.
   *
   * @return whether it knows how many hosts share the limits of the whole deployment
   */
  public boolean wasHeld() {
    return heldOnce;
  }

  /**
   * Returns the time since the host was last in the majority.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the time, in milliseconds; 0 if it is in the majority
   */
  public long millisWithout(long nowMillis) {
    return held ? 0 : Math.max(1, nowMillis - heldAtMillis);
  }
}
