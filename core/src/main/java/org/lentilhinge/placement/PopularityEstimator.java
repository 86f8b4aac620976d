package org.lentilhinge.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.identity.AdapterVersion;

/**
 * Estimates the request rates of adapter versions by exponentially decaying counts. The least
 * requested versions are dropped when the number of versions exceeds the capacity.
 */
public final class PopularityEstimator {

  private static final double MILLIS_PER_SECOND = 1000.0;

  private final double decayMillis;
  private final int capacity;
  private final Map<AdapterVersion, DecayingCount> counts = new HashMap<>();

  /**
   * Creates an empty estimator.
   *
   * @param decayMillis the time in which a count decays to 1/e, in milliseconds
   * @param capacity the maximum number of tracked versions
   */
  public PopularityEstimator(long decayMillis, int capacity) {
    this.decayMillis = decayMillis;
    this.capacity = capacity;
  }

  /**
   * Records requests for a version.
   *
   * @param version the version
   * @param requests the number of requests
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void observe(AdapterVersion version, int requests, long nowMillis) {
    DecayingCount count = counts.computeIfAbsent(version, unseen -> new DecayingCount(nowMillis));
    count.add(requests, nowMillis, decayMillis);
    if (counts.size() > capacity) {
      removeLeastRequested(nowMillis);
    }
  }

  /**
   * Returns the estimated request rate of a version.
   *
   * @param version the version
   * @param nowMillis the monotonic time, in milliseconds
   * @return the rate in requests per second
   */
  public double requestsPerSecond(AdapterVersion version, long nowMillis) {
    DecayingCount count = counts.get(version);
    if (count == null) {
      return 0;
    }
    return count.valueAt(nowMillis, decayMillis) * MILLIS_PER_SECOND / decayMillis;
  }

  /**
   * Returns the most requested versions.
   *
   * @param limit the maximum number of versions
   * @param nowMillis the monotonic time, in milliseconds
   * @return the versions, the most requested first
   */
  public List<AdapterVersion> mostRequested(int limit, long nowMillis) {
    return counts.entrySet().stream()
        .sorted(byCount(nowMillis).reversed().thenComparing(Map.Entry.comparingByKey()))
        .limit(limit)
        .map(Map.Entry::getKey)
        .toList();
  }

  private void removeLeastRequested(long nowMillis) {
    List<AdapterVersion> least =
        counts.entrySet().stream()
            .sorted(byCount(nowMillis).thenComparing(Map.Entry.comparingByKey()))
            .limit(Math.max(1, capacity / 8))
            .map(Map.Entry::getKey)
            .toList();
    least.forEach(counts::remove);
  }

  private Comparator<Map.Entry<AdapterVersion, DecayingCount>> byCount(long nowMillis) {
    return Comparator.comparingDouble(entry -> entry.getValue().valueAt(nowMillis, decayMillis));
  }
}
