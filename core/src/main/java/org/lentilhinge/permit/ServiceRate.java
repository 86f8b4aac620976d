package org.lentilhinge.permit;

/** Measures how fast an engine's scheduler issues permits while requests wait for capacity. */
final class ServiceRate {

  /** The time in which a sample loses half of its weight, in milliseconds. */
  private static final double HALF_LIFE_MILLIS = 2_000;

  private double permits;
  private double shortMillis;
  private boolean capacityShort;
  private long updatedAtMillis;

  /**
   * Records a decision.
   *
   * @param issued the number of permits that it issued
   * @param isShort whether a request has to wait for capacity after it
   * @param nowMillis the current time, in milliseconds
   */
  void record(int issued, boolean isShort, long nowMillis) {
    if (capacityShort) {
      double factor = Math.pow(0.5, (nowMillis - updatedAtMillis) / HALF_LIFE_MILLIS);
      shortMillis = shortMillis * factor + nowMillis - updatedAtMillis;
      permits = permits * factor + issued;
    }
    capacityShort = isShort;
    updatedAtMillis = nowMillis;
  }

  /** Returns the time between two permits, in milliseconds; 0 if it was never measured. */
  double millisPerPermit() {
    return shortMillis / Math.max(1, permits);
  }

  /** Returns the time until a number of permits are issued; 0 if no request waits for capacity. */
  long waitMillis(int permitsAhead) {
    return capacityShort ? Math.round(permitsAhead * millisPerPermit()) : 0;
  }
}
