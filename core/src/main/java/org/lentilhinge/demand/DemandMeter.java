package org.lentilhinge.demand;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Measures the recent demand for each adapter at one engine, with exponential decay. */
public final class DemandMeter {

  /** The half-life of the measured demand: a change shows within about a second. */
  private static final double HALF_LIFE_MILLIS = 1_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * The prefill time that one request counts at most, in milliseconds. A single very long prompt is
   * no demand that further engines could share.
   */
  private static final double MAXIMUM_PREFILL_MILLIS = 500;

  /** The load below which the demand for an adapter is not stated to other hosts. */
  private static final double MINIMUM_LOAD = 0.05;

  /** The steps in which loads are stated, so that small changes cause no message. */
  private static final double LOAD_STEP = 0.05;

  /** The maximum number of adapters whose demand is stated: more than an engine has slots. */
  private static final int MAXIMUM_STATED = 8;

  private final Map<String, Sum> sums = new HashMap<>();

  /** Creates a meter that has measured nothing. */
  public DemandMeter() {}

  private static final class Sum {
    private double requests;
    private double prefillMillis;
    private long updatedAtMillis;

    private void decayTo(long nowMillis) {
      double factor = Math.pow(0.5, (nowMillis - updatedAtMillis) / HALF_LIFE_MILLIS);
      requests *= factor;
      prefillMillis *= factor;
      updatedAtMillis = nowMillis;
    }
  }

  /**
   * Records a request.
   *
   * @param adapter the adapter's name
   * @param prefillMillis the expected prefill time of its prompt, in milliseconds
   * @param nowMillis the current time, in milliseconds
   */
  public void recordRequest(String adapter, double prefillMillis, long nowMillis) {
    Sum sum = sums.computeIfAbsent(adapter, unused -> new Sum());
    sum.decayTo(nowMillis);
    sum.requests++;
    sum.prefillMillis += Math.min(MAXIMUM_PREFILL_MILLIS, prefillMillis);
  }

  /**
   * Returns the adapters with a considerable demand.
   *
   * @param nowMillis the current time, in milliseconds
   * @return their loads, the largest first
   */
  public List<AdapterLoad> loads(long nowMillis) {
    double perMilli = Math.log(2) / HALF_LIFE_MILLIS;
    List<AdapterLoad> loads = new ArrayList<>();
    sums.entrySet()
        .removeIf(
            entry -> {
              Sum sum = entry.getValue();
              sum.decayTo(nowMillis);
              double load = sum.prefillMillis * perMilli;
              if (load >= MINIMUM_LOAD) {
                loads.add(
                    new AdapterLoad(
                        entry.getKey(),
                        Math.round(sum.requests * perMilli * MILLIS_PER_SECOND),
                        Math.round(load / LOAD_STEP) * LOAD_STEP));
              }
              return load < MINIMUM_LOAD / MAXIMUM_STATED;
            });
    loads.sort(
        Comparator.comparingDouble(AdapterLoad::load)
            .reversed()
            .thenComparing(AdapterLoad::adapter));
    return loads.subList(0, Math.min(MAXIMUM_STATED, loads.size()));
  }
}
