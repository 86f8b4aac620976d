package org.lentilhinge.forward;

/**
 * One host's share of the retry budget that all hosts have for a service. The total stays below the
 * limit even if each host uses its share at once. A host starts without retries, so that a
 * restarted host cannot use the same share twice.
 */
public final class RetryBudgetShare {

  /**
   * The fraction of the budget that is used; the rest covers retries that are counted in another
   * window.
   */
  private static final double USED_FRACTION = 0.7;

  private final double retriesPerRequest;
  private final double additionalRetries;
  private final double windowMillis;
  private double availableRetries;
  private long refilledAtMillis;

  /**
   * Creates a share.
   *
   * @param retriesPerRequest the number of retries allowed per request
   * @param additionalRetries the number of additional retries allowed per window, for all hosts
   *     together
   * @param windowMillis the length of a window, in milliseconds
   * @param nowMillis the current time, in milliseconds
   */
  public RetryBudgetShare(
      double retriesPerRequest, double additionalRetries, long windowMillis, long nowMillis) {
    this.retriesPerRequest = retriesPerRequest;
    this.additionalRetries = additionalRetries;
    this.windowMillis = windowMillis;
    this.refilledAtMillis = nowMillis;
  }

  /** Counts a request of a caller, which adds a fraction of a retry. */
  public void recordRequest() {
    availableRetries += retriesPerRequest * USED_FRACTION;
  }

  /**
   * Uses a retry if one is available.
   *
   * @param hosts the number of hosts that share the additional retries
   * @param nowMillis the current time, in milliseconds
   * @return whether the retry may be made
   */
  public boolean trySpend(int hosts, long nowMillis) {
    // Half of the share is refilled per window and halfShare may be saved, so both fit into one
    // window.
    double halfShare = additionalRetries * USED_FRACTION / Math.max(1, hosts) / 2;
    availableRetries =
        Math.min(
            halfShare + retriesPerRequest * halfShare,
            availableRetries + halfShare * (nowMillis - refilledAtMillis) / windowMillis);
    refilledAtMillis = nowMillis;
    if (availableRetries < 1) {
      return false;
    }
    availableRetries--;
    return true;
  }
}
