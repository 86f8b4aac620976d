package org.lentilhinge.forward;

/**
 * One host's share of the retry budget that all hosts have for a service. The total stays below the
 * limit even if each host uses its share at once. A host starts without retries, so that a
 * restarted host cannot use the same share twice.
 */
public final class RetryShare {

  /** The part of the budget in use; the rest covers retries that are counted in another window. */
  private static final double SAFE_PART = 0.7;

  private final double ratio;
  private final double extra;
  private final double windowMillis;
  private double saved;
  private long refilledMillis;

  /**
   * Creates a share.
   *
   * @param ratio the number of retries allowed per request
   * @param extra the number of additional retries allowed per window, for all hosts together
   * @param windowMillis the length of a window, in milliseconds
   * @param nowMillis the current time, in milliseconds
   */
  public RetryShare(double ratio, double extra, long windowMillis, long nowMillis) {
    this.ratio = ratio;
    this.extra = extra;
    this.windowMillis = windowMillis;
    this.refilledMillis = nowMillis;
  }

  /** Counts a request of a caller, which adds a fraction of a retry. */
  public void requested() {
    saved += ratio * SAFE_PART;
  }

  /**
   * Uses a retry if one is available.
   *
   * @param hosts the number of hosts that share the additional retries
   * @param nowMillis the current time, in milliseconds
   * @return whether the retry may be made
   */
  public boolean spend(int hosts, long nowMillis) {
    // Half of the share is refilled over a window and half may be saved: both fit into one window.
    double half = extra * SAFE_PART / Math.max(1, hosts) / 2;
    saved =
        Math.min(half + ratio * half, saved + half * (nowMillis - refilledMillis) / windowMillis);
    refilledMillis = nowMillis;
    if (saved < 1) {
      return false;
    }
    saved--;
    return true;
  }
}
