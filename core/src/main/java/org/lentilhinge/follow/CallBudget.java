package org.lentilhinge.follow;

/**
 * Limits the rate of the calls from one host to the platform's service with a token bucket. All
 * readers share the service's rate limit, and during a network partition every isolated host
 * selects itself as a reader. A host that does not see a majority of its zone therefore uses a rate
 * that is low enough for all hosts of the system to call at the same time.
 */
final class CallBudget {

  private static final double WIDE_PER_SECOND = 20;
  private static final double WIDE_BURST = 10;
  private static final double NARROW_PER_SECOND = 2;
  private static final double NARROW_BURST = 2;
  private static final double MILLIS_PER_SECOND = 1_000;

  private double tokens = NARROW_BURST;
  private boolean wide;
  private long refilledAtMillis;

  /**
   * Selects the rate limit.
   *
   * @param majoritySeen whether the host sees a majority of its zone
   */
  void setWide(boolean majoritySeen) {
    wide = majoritySeen;
  }

  /**
   * Takes the token for one call, if one is available.
   *
   * @param nowMillis the monotonic time
   * @return whether the call may be made
   */
  boolean take(long nowMillis) {
    refill(nowMillis);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  private void refill(long nowMillis) {
    double rate = wide ? WIDE_PER_SECOND : NARROW_PER_SECOND;
    double burst = wide ? WIDE_BURST : NARROW_BURST;
    double earned = (nowMillis - refilledAtMillis) * rate / MILLIS_PER_SECOND;
    tokens = Math.min(burst, tokens + earned);
    refilledAtMillis = nowMillis;
  }
}
