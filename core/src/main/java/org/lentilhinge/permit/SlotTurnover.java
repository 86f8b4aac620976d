package org.lentilhinge.permit;

/** Learns how long a request waits for each adapter that gets a slot before its own does. */
final class SlotTurnover {

  /** Assumed until a request has waited: six slots that turn over in about a second. */
  private static final double FIRST_GUESS_MILLIS = 150;

  private static final double LEAST_MILLIS = 40;
  private static final double GREATEST_MILLIS = 1_500;

  /** The weight of the newest wait in the running mean. */
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
