package org.lentilhinge.allowance;

import java.util.HashMap;
import java.util.Map;

/**
 * The share of each quota that this host may use together with the hosts that it hears. The shares
 * of hosts that do not hear each other add up to little more than 1.
 */
final class QuotaShare {

  /**
   * The time after a report for which its host counts as heard, in milliseconds. A report is sent
   * every 400 ms at least and waits up to 200 ms at a relay.
   */
  private static final long HEARD_MILLIS = 800;

  /** The time between two updates up to which this process was not paused, in milliseconds. */
  private static final long NORMAL_GAP_MILLIS = 500;

  /**
   * The pause of this process up to which hosts still count as heard, in milliseconds. Their
   * reports wait in the sockets then.
   */
  private static final long EXCUSED_GAP_MILLIS = 2_000;

  /** The time for which a silent host is remembered, as for lost hosts, in milliseconds. */
  private static final long FORGET_MILLIS = 600_000;

  /**
   * The share of a host that has not heard from any other one: as one of a hundred hosts, whose
   * number is not known yet.
   */
  private static final double UNCONNECTED_SHARE = 0.01;

  /**
   * The part of the bound on overuse that the shares may use. The rest is for the time until
   * reports arrive. A few silent hosts then change nothing.
   */
  private static final double SHARED_OVERUSE = 0.4;

  private final boolean othersExpected;
  private final double factor;
  private final Map<String, HeardHost> heard = new HashMap<>();
  private double share;
  private int hosts = 1;
  private int heardHosts = 1;
  private long updatedAtMillis = Long.MIN_VALUE;
  private long excusedUntilMillis = Long.MIN_VALUE;

  private record HeardHost(long atMillis, int knownHosts) {}

  QuotaShare(boolean othersExpected, double over) {
    this.othersExpected = othersExpected;
    this.factor = 1 + SHARED_OVERUSE * over;
    this.share = othersExpected ? UNCONNECTED_SHARE : 1;
  }

  double share() {
    return share;
  }

  /** Returns the number of hosts that share the quotas, this host included. */
  int hosts() {
    return hosts;
  }

  /** Returns the number of hosts that are heard, this host included. */
  int heardHosts() {
    return heardHosts;
  }

  void recordReport(String host, int knownHosts, long nowMillis) {
    heard.put(host, new HeardHost(nowMillis, knownHosts));
  }

  /** Uses the whole quota up to a time at which the other hosts begin to send reports. */
  void excuseUntil(long untilMillis) {
    excusedUntilMillis = untilMillis;
    share = 1;
  }

  /** Determines the share anew. Must be called several times per second. */
  void update(int knownHosts, long nowMillis) {
    long gap = updatedAtMillis == Long.MIN_VALUE ? 0 : nowMillis - updatedAtMillis;
    if (gap > NORMAL_GAP_MILLIS && gap <= EXCUSED_GAP_MILLIS) {
      heard.replaceAll(
          (host, last) ->
              new HeardHost(Math.min(nowMillis, last.atMillis() + gap), last.knownHosts()));
    }
    updatedAtMillis = nowMillis;
    heard.values().removeIf(last -> nowMillis - last.atMillis() > FORGET_MILLIS);
    heardHosts = 1;
    hosts = Math.max(1, knownHosts);
    for (HeardHost last : heard.values()) {
      if (nowMillis - last.atMillis() <= HEARD_MILLIS) {
        heardHosts++;
        // A host that has just started does not know the hosts that were lost before.
        hosts = Math.max(hosts, last.knownHosts());
      }
    }
    hosts = Math.max(hosts, heardHosts);
    if (nowMillis < excusedUntilMillis) {
      share = 1;
    } else if (othersExpected && heard.isEmpty()) {
      share = UNCONNECTED_SHARE;
    } else {
      share = Math.min(1, factor * heardHosts / hosts);
    }
  }
}
