package org.lentilhinge.zone;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * The round-trip time from this host to the endpoints of each zone: the minimum of the times that
 * connections took to open in the current and the preceding window. A minimum is not affected by
 * single slow connections, and a window ends only after several of them, so that a lasting rise
 * shows after two windows.
 */
public final class ZoneRoundTrips {

  /** The minimum length of a window: two windows are the time in which a lasting rise shows. */
  private static final long WINDOW_MILLIS = 2_000;

  /** The connections without which a window does not end, as one or two may be slow by chance. */
  private static final int MINIMUM_SAMPLES = 3;

  /**
   * The number of endpoints that fail, while none responds, after which their zone counts as
   * unreachable. One endpoint may have crashed.
   */
  private static final int UNREACHABLE_ENDPOINTS = 2;

  /**
   * The time after its last failure for which a zone counts as unreachable. Then a request may try
   * it again; endpoints that fail alone are avoided by their own failures.
   */
  private static final long UNREACHABLE_MILLIS = 3_000;

  private final Map<String, Entry> entries = new HashMap<>();

  /** Creates a state in which nothing was measured. */
  public ZoneRoundTrips() {}

  private static final class Entry {
    private double currentMillis = Double.POSITIVE_INFINITY;
    private double precedingMillis = Double.POSITIVE_INFINITY;
    private int samples;
    private long windowStartMillis;
    private final Set<String> failedEndpoints = new HashSet<>();
    private long failedAtMillis;
  }

  /**
   * Records a connection that was opened.
   *
   * @param zone the zone of the endpoint
   * @param durationMillis the time that it took, in milliseconds
   * @param nowMillis the current time, in milliseconds
   */
  public void recordConnect(String zone, double durationMillis, long nowMillis) {
    Entry entry = entries.computeIfAbsent(zone, unused -> new Entry());
    entry.failedEndpoints.clear();
    if (entry.samples == 0) {
      entry.windowStartMillis = nowMillis;
    } else if (entry.samples >= MINIMUM_SAMPLES
        && nowMillis - entry.windowStartMillis >= WINDOW_MILLIS) {
      entry.precedingMillis = entry.currentMillis;
      entry.currentMillis = Double.POSITIVE_INFINITY;
      entry.samples = 0;
      entry.windowStartMillis = nowMillis;
    }
    entry.samples++;
    entry.currentMillis = Math.min(entry.currentMillis, durationMillis);
  }

  /**
   * Records a connection that could not be opened.
   *
   * @param zone the zone of the endpoint
   * @param incarnation the incarnation of the endpoint
   * @param nowMillis the current time, in milliseconds
   */
  public void recordFailure(String zone, String incarnation, long nowMillis) {
    Entry entry = entries.computeIfAbsent(zone, unused -> new Entry());
    entry.failedEndpoints.add(incarnation);
    entry.failedAtMillis = nowMillis;
  }

  /**
   * Records a response, which shows that the zone is reachable although no new connection was
   * needed.
   *
   * @param zone the zone of the endpoint
   */
  public void recordResponse(String zone) {
    Entry entry = entries.get(zone);
    if (entry != null) {
      entry.failedEndpoints.clear();
    }
  }

  /**
   * Returns whether the latest connections to a zone could not be opened.
   *
   * @param zone the zone
   * @param nowMillis the current time, in milliseconds
   * @return whether requests should not be sent there for now
   */
  public boolean isUnreachable(String zone, long nowMillis) {
    Entry entry = entries.get(zone);
    return entry != null
        && entry.failedEndpoints.size() >= UNREACHABLE_ENDPOINTS
        && nowMillis - entry.failedAtMillis < UNREACHABLE_MILLIS;
  }

  /**
   * Returns the round-trip time to a zone.
   *
   * @param zone the zone
   * @return the time in milliseconds, or empty until enough connections were opened
   */
  public OptionalDouble millis(String zone) {
    Entry entry = entries.get(zone);
    if (entry == null) {
      return OptionalDouble.empty();
    }
    double lowest = Math.min(entry.currentMillis, entry.precedingMillis);
    boolean measured =
        entry.samples >= MINIMUM_SAMPLES || entry.precedingMillis < Double.POSITIVE_INFINITY;
    return measured ? OptionalDouble.of(lowest) : OptionalDouble.empty();
  }
}
