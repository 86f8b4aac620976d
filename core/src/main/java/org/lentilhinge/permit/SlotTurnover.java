package org.lentilhinge.permit;

/**
 * Estimates the wait for an adapter slot from the number of adapters ahead in the queue and a
 * running mean of the observed wait per adapter.
 */
final class SlotTurnover {

  /** The initial estimate for one adapter: six slots, each freed about once a second. */
  private static final double FIRST_GUESS_MILLIS = 150;

  private static final double LEAST_MILLIS = 40;
  private static final double GREATEST_MILLIS = 1_500;

  /** The weight of a new sample in the running mean. */
  private static final double NEWEST = 0.1;

  private double turnMillis = FIRST_GUESS_MILLIS;

  void waited(int slotsAhead, long millis) {
    double sample = Math.max(LEAST_MILLIS, Math.min(GREATEST_MILLIS, millis / (slotsAhead + 1.0)));
    turnMillis += NEWEST * (sample - turnMillis);
  }

  long waitMillis(int slotsAhead) {
    return Math.round((slotsAhead + 1) * turnMillis);
  }
}
