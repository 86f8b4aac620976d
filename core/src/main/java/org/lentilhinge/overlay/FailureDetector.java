package org.lentilhinge.overlay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The times since which other hosts are silent, are probed without a response or are suspected. A
 * host passes through these states one after the other before it is lost.
 */
final class FailureDetector {

  /** The silence after which a watched host is probed: three heartbeats, in milliseconds. */
  private static final long SILENCE_MILLIS = 900;

  /**
   * The time for the response to a probe over a link that may have to be opened first, in
   * milliseconds.
   */
  private static final long PROBE_TIMEOUT_MILLIS = 500;

  /** The time for a refutation to arrive by gossip, in milliseconds. */
  private static final long REFUTATION_MILLIS = 600;

  private final Map<String, Long> acceptedAtMillis = new HashMap<>();
  private final Map<String, Long> watchedSinceMillis = new HashMap<>();
  private final Map<String, Long> probedAtMillis = new TreeMap<>();
  private final Map<String, Long> suspectedAtMillis = new TreeMap<>();

  void setWatched(String host, boolean watched, long nowMillis) {
    if (watched) {
      recordAcceptance(host, nowMillis);
      watchedSinceMillis.put(host, nowMillis);
    } else {
      watchedSinceMillis.remove(host);
    }
  }

  /** Records a message of a host that shows that the host knows this one as live. */
  void recordAcceptance(String host, long nowMillis) {
    acceptedAtMillis.put(host, nowMillis);
  }

  /** Records that a host sent a message; returns whether it was suspected. */
  boolean recordContact(String host, long nowMillis) {
    probedAtMillis.remove(host);
    watchedSinceMillis.computeIfPresent(host, (name, since) -> nowMillis);
    return clearSuspicion(host);
  }

  boolean clearSuspicion(String host) {
    return suspectedAtMillis.remove(host) != null;
  }

  /** Records a suspicion; returns whether it is new. */
  boolean suspect(String host, long nowMillis) {
    return suspectedAtMillis.putIfAbsent(host, nowMillis) == null;
  }

  /** Records a probe; returns false if the host is probed or suspected already. */
  boolean startProbe(String host, long nowMillis) {
    return !suspectedAtMillis.containsKey(host)
        && probedAtMillis.putIfAbsent(host, nowMillis) == null;
  }

  /** Returns the watched hosts whose heartbeats are missing. */
  List<String> silentHosts(long nowMillis) {
    return hostsSince(watchedSinceMillis, nowMillis - SILENCE_MILLIS);
  }

  /** Removes and returns the hosts that did not respond to their probe in time. */
  List<String> removeUnresponsive(long nowMillis) {
    List<String> hosts = hostsSince(probedAtMillis, nowMillis - PROBE_TIMEOUT_MILLIS);
    probedAtMillis.keySet().removeAll(hosts);
    return hosts;
  }

  /** Removes and returns the hosts that did not refute a suspicion in time. */
  List<String> removeUnrefuted(long nowMillis) {
    List<String> hosts = hostsSince(suspectedAtMillis, nowMillis - REFUTATION_MILLIS);
    suspectedAtMillis.keySet().removeAll(hosts);
    return hosts;
  }

  private static List<String> hostsSince(Map<String, Long> times, long latestMillis) {
    List<String> hosts = new ArrayList<>();
    times.forEach(
        (host, since) -> {
          if (since <= latestMillis) {
            hosts.add(host);
          }
        });
    return hosts;
  }

  /**
   * Counts the hosts that knew this host as live recently.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the number of hosts for which {@link #isRecentlyAccepted} holds
   */
  int recentlyAcceptedCount(long nowMillis) {
    int count = 0;
    for (long acceptedAt : acceptedAtMillis.values()) {
      if (isRecent(acceptedAt, nowMillis)) {
        count++;
      }
    }
    return count;
  }

  /**
   * Indicates whether a host showed that it knows this host as live, within the time in which a
   * silent host becomes suspected.
   *
   * @param host the host's name
   * @param nowMillis the monotonic time, in milliseconds
   * @return whether the host receives this host's messages or has not yet found that it does not
   */
  boolean isRecentlyAccepted(String host, long nowMillis) {
    Long acceptedAt = acceptedAtMillis.get(host);
    return acceptedAt != null && isRecent(acceptedAt, nowMillis);
  }

  private static boolean isRecent(long atMillis, long nowMillis) {
    return atMillis >= nowMillis - SILENCE_MILLIS - PROBE_TIMEOUT_MILLIS;
  }

  /** After a pause of this process, the silence of the others counts from now. */
  void excuseSilence(long nowMillis) {
    watchedSinceMillis.replaceAll((host, since) -> nowMillis);
    probedAtMillis.clear();
    suspectedAtMillis.replaceAll((host, since) -> nowMillis);
  }

  void remove(String host) {
    acceptedAtMillis.remove(host);
    watchedSinceMillis.remove(host);
    probedAtMillis.remove(host);
    suspectedAtMillis.remove(host);
  }
}
