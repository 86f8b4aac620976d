package org.lentilhinge.permit;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the recent demand for each adapter as a count of requests with exponential decay: the
 * weight of a request halves with each half-life.
 */
final class AdapterDemand {

  private static final double HALF_LIFE_MILLIS = 8_000;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int MAXIMUM_ADAPTERS = 4_096;

  private final Map<String, Weight> weights = new HashMap<>();

  /** Counts a permit request for an adapter. */
  void recordRequest(String adapter, long nowMillis) {
    if (weights.size() >= MAXIMUM_ADAPTERS) {
      weights.values().removeIf(weight -> weight.decayedTo(nowMillis) < 1.0 / MAXIMUM_ADAPTERS);
    }
    weights.merge(
        adapter,
        new Weight(1, nowMillis),
        (former, increment) -> new Weight(former.decayedTo(nowMillis) + 1, nowMillis));
  }

  /** Returns the decayed request count of an adapter; 0 if it was never requested. */
  double weight(String adapter, long nowMillis) {
    Weight weight = weights.get(adapter);
    return weight == null ? 0 : weight.decayedTo(nowMillis);
  }

  /** Returns the request count that a lasting demand leads to. */
  static double expectedWeight(double requestsPerSecond) {
    return requestsPerSecond * HALF_LIFE_MILLIS / (MILLIS_PER_SECOND * Math.log(2));
  }

  private record Weight(double value, long updatedAtMillis) {

    double decayedTo(long nowMillis) {
      return value * Math.pow(0.5, (nowMillis - updatedAtMillis) / HALF_LIFE_MILLIS);
    }
  }
}
