package org.lentilhinge.overlay;

import java.util.Collection;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides whether a host is in the majority part of the network. All hosts count that are known to
 * run or that fell silent recently, as these may run in another part. Of two halves, the one with
 * the first host by name is the majority. At most one part of a partition is the majority.
 */
public final class HostMajority {

  /**
   * The time for which a silent host counts as one that may be running in another part of the
   * network, in milliseconds.
   */
  private static final long SILENT_HOST_MILLIS = 30_000;

  private final String self;
  private final Set<String> seeds;
  private final HostView view;
  private final FailureDetector detector;
  private OptionalLong startedAtMillis = OptionalLong.empty();
  private boolean held;
  private boolean heldOnce;
  private boolean reachesAll;
  private long heldAtMillis;

  /**
   * Creates the decision of a host that has just started.
   *
   * @param self the host's name
   * @param seeds the other hosts that are known at startup; they may be running
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
    boolean hearsAll = neighbors.size() >= view.live().size();
    held =
        (hearsAll || hearsNeighbors(neighbors, nowMillis))
            && reachesMajority(disconnected, hearsAll, nowMillis);
    if (held) {
      heldOnce = true;
      heldAtMillis = nowMillis;
    }
  }

  /**
   * Indicates whether no neighbor is silent, where the neighbors are only some of the hosts: the
   * loss of the others is known only once it was gossiped. A silent neighbor is soon replaced.
   */
  private boolean hearsNeighbors(Collection<String> neighbors, long nowMillis) {
    return detector.recentlyHeard(nowMillis).size() >= neighbors.size();
  }

  private boolean reachesMajority(Set<String> disconnected, boolean hearsAll, long nowMillis) {
    Set<String> heard = detector.recentlyHeard(nowMillis);
    Set<String> reached = new HashSet<>(Set.of(self));
    Set<String> silent = new HashSet<>(view.lostSince(nowMillis - SILENT_HOST_MILLIS));
    for (HostRecord host : view.live()) {
      boolean isReached =
          !disconnected.contains(host.host()) && (!hearsAll || heard.contains(host.host()));
      if (!host.leaving()) {
        (isReached ? reached : silent).add(host.host());
      }
    }
    if (nowMillis - startedAtMillis.orElse(nowMillis) < SILENT_HOST_MILLIS) {
      seeds.stream().filter(view::isUnknown).forEach(silent::add);
    }
    reachesAll = silent.isEmpty();
    return isMajority(reached, silent);
  }

  static boolean isMajority(Collection<String> reached, Collection<String> silent) {
    Set<String> all = new TreeSet<>(reached);
    all.addAll(silent);
    int difference = 2 * reached.size() - all.size();
    return difference > 0 || (difference == 0 && reached.contains(all.iterator().next()));
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
