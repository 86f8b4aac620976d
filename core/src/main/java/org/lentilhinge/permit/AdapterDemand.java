package org.lentilhinge.permit;

import java.util.HashMap;
import java.util.Map;

/** Weighs how often each adapter was asked for lately; an ask counts half after the half-life. */
final class AdapterDemand {

  private static final double HALF_LIFE_MILLIS = 8_000;
  private static final int MAXIMUM_ADAPTERS = 4_096;

  private final Map<String, Weight> weights = new HashMap<>();

  /** Counts an ask. */
  void asked(String adapter, long nowMillis) {
    if (weights.size() >= MAXIMUM_ADAPTERS) {
      weights.values().removeIf(weight -> weight.at(nowMillis) < 1.0 / MAXIMUM_ADAPTERS);
    }
    weights.merge(
        adapter,
        new Weight(1, nowMillis),
        (old, one) -> new Weight(old.at(nowMillis) + 1, nowMillis));
  }

  /** Gets the weight of an adapter; 0 if it was never asked for. */
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
