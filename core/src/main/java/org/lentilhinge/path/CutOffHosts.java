package org.lentilhinge.path;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The hosts that have announced that they have lost their paths to the endpoints. */
public final class CutOffHosts {

  /** The time for which an announcement holds, in milliseconds. It is repeated each second. */
  private static final long EXPIRY_MILLIS = 3_000;

  private final Map<String, Long> announcedAtMillis = new HashMap<>();
  private long generation;

  /** Creates an empty set. */
  public CutOffHosts() {}

  /**
   * Records an announcement.
   *
   * @param host the host
   * @param cutOff whether it has lost its paths
   * @param nowMillis the current time, in milliseconds
   * @return whether this changes what is known of the host
   */
  public boolean record(String host, boolean cutOff, long nowMillis) {
    boolean known = contains(host);
    if (cutOff) {
      announcedAtMillis.put(host, nowMillis);
    } else {
      announcedAtMillis.remove(host);
    }
    generation += known == cutOff ? 0 : 1;
    return known != cutOff;
  }

  /**
   * Removes the hosts whose announcements have expired.
   *
   * @param nowMillis the current time, in milliseconds
   * @return the removed hosts
   */
  public Set<String> removeExpired(long nowMillis) {
    Set<String> expired = new HashSet<>();
    announcedAtMillis.forEach(
        (host, announced) -> {
          if (nowMillis - announced > EXPIRY_MILLIS) {
            expired.add(host);
          }
        });
    announcedAtMillis.keySet().removeAll(expired);
    generation += expired.isEmpty() ? 0 : 1;
    return expired;
  }

  /**
   * Returns whether a host has lost its paths, as far as known.
   *
   * @param host the host
   * @return whether it announced so a short time ago
   */
  public boolean contains(String host) {
    return announcedAtMillis.containsKey(host);
  }

  /**
   * Returns a number that changes with each change of the set.
   *
   * @return the number
   */
  public long generation() {
    return generation;
  }
}
