package org.lentilhinge.permit;

/**
 * Estimates the wait for an adapter slot from the number of adapters ahead in the queue and a
 * running mean of the observed wait per adapter.
 */
final class SlotWaitEstimator {

  /** The initial estimate, in milliseconds: six slots, each freed about once a second. */
  private static final double INITIAL_MILLIS_PER_ADAPTER = 150;

  private static final double MINIMUM_MILLIS_PER_ADAPTER = 40;
  private static final double MAXIMUM_MILLIS_PER_ADAPTER = 1_500;

  /** The weight of a new sample in the running mean. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private double millisPerAdapter = INITIAL_MILLIS_PER_ADAPTER;

  void recordWait(int slotsAhead, long waitedMillis) {
    double sample =
        Math.max(
            MINIMUM_MILLIS_PER_ADAPTER,
            Math.min(MAXIMUM_MILLIS_PER_ADAPTER, waitedMillis / (slotsAhead + 1.0)));
    millisPerAdapter += SAMPLE_WEIGHT * (sample - millisPerAdapter);
  }

  long expectedWaitMillis(int slotsAhead) {
    return Math.round((slotsAhead + 1) * millisPerAdapter);
  }
}
