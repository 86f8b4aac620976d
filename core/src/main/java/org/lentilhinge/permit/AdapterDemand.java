package org.lentilhinge.permit;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the recent demand for each adapter as a count of requests with exponential decay: the
 * weight of a request halves with each half-life.
 */
final class AdapterDemand {

  private static final double HALF_LIFE_MILLIS = 8_000;
  private static final int MAXIMUM_ADAPTERS = 4_096;

  private final Map<String, Weight> weights = new HashMap<>();

  /** Counts a permit request for an adapter. */
  void asked(String adapter, long nowMillis) {
    if (weights.size() >= MAXIMUM_ADAPTERS) {
      weights.values().removeIf(weight -> weight.at(nowMillis) < 1.0 / MAXIMUM_ADAPTERS);
    }
    weights.merge(
        adapter,
        new Weight(1, nowMillis),
        (former, increment) -> new Weight(former.at(nowMillis) + 1, nowMillis));
  }

  /** Returns the decayed request count of an adapter; 0 if it was never requested. */
  double of(String adapter, long nowMillis) {
    Weight weight = weights.get(adapter);
    return weight == null ? 0 : weight.at(nowMillis);
  }

  private record Weight(double value, long sinceMillis) {

    double at(long nowMillis) {
      return value * Math.pow(0.5, (nowMillis - sinceMillis) / HALF_LIFE_MILLIS);
    }
  }
}
