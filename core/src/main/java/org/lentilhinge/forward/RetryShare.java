package org.lentilhinge.forward;

/**
 * Gives one host its share of the retries that all hosts may make at a service, so that the whole
 * stays below its bound even when each host spends its share at once. A host begins with nothing:
 * one that restarts cannot spend the same share twice.
 */
public final class RetryShare {

  /** Leaves a part of the ratio for requests whose retries are counted in another window. */
  private static final double SAFE_PART = 0.7;

  private final double ratio;
  private final double extra;
  private final double windowMillis;
  private double saved;
  private long refilledMillis;

  /**
   * Makes a share.
   *
   * @param ratio the retries allowed for each request
   * @param extra the retries allowed besides in each window, of all hosts together
   * @param windowMillis the length of a window, in milliseconds
   * @param nowMillis the time
   */
  public RetryShare(double ratio, double extra, long windowMillis, long nowMillis) {
    this.ratio = ratio;
    this.extra = extra;
    this.windowMillis = windowMillis;
    this.refilledMillis = nowMillis;
  }

  /** Counts a request of a caller, which earns a part of a retry. */
  public void requested() {
    saved += ratio * SAFE_PART;
  }

  /**
   * Spends a retry if there is one.
   *
   * @param hosts the number of hosts that share the extra
   * @param nowMillis the time
   * @return whether the retry may be made
   */
  public boolean spend(int hosts, long nowMillis) {
    // Half of the share flows in over a window and half may be saved: both fit into one window.
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
