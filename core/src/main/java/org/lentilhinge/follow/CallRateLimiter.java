package org.lentilhinge.follow;

/**
 * Limits the rate of the calls from one host to the platform's service with a token bucket. All
 * readers share the service's rate limit, and during a network partition every isolated host
 * selects itself as a reader. A host that does not see a majority of its zone therefore uses a rate
 * that is low enough for all hosts of the system to call at the same time.
 */
final class CallRateLimiter {

  private static final double MAJORITY_CALLS_PER_SECOND = 20;
  private static final double MAJORITY_BURST_CALLS = 10;
  private static final double ISOLATED_CALLS_PER_SECOND = 2;
  private static final double ISOLATED_BURST_CALLS = 2;
  private static final double MILLIS_PER_SECOND = 1_000;

  private double tokens = ISOLATED_BURST_CALLS;
  private boolean majorityVisible;
  private long refilledAtMillis;

  /**
   * Selects the rate limit.
   *
   * @param visible whether the host sees a majority of its zone
   */
  void setMajorityVisible(boolean visible) {
    majorityVisible = visible;
  }

  /**
   * Acquires the token for one call, if a token is available.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return whether the call may be made
   */
  boolean tryAcquire(long nowMillis) {
    refill(nowMillis);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  private void refill(long nowMillis) {
    double callsPerSecond = majorityVisible ? MAJORITY_CALLS_PER_SECOND : ISOLATED_CALLS_PER_SECOND;
    double burstCalls = majorityVisible ? MAJORITY_BURST_CALLS : ISOLATED_BURST_CALLS;
    double accrued = (nowMillis - refilledAtMillis) * callsPerSecond / MILLIS_PER_SECOND;
    tokens = Math.min(burstCalls, tokens + accrued);
    refilledAtMillis = nowMillis;
  }
}
