package org.lentilhinge.attempt;

/**
 * Limits retries to a fraction of the requests, so that a failure cannot multiply the load. Each
 * request adds a fraction of a retry to the budget, up to a maximum balance.
 */
public final class RetryBudget {

  private final double share;
  private final double maximumSaved;
  private double saved;

  /**
   * Creates a budget that starts with its maximum balance.
   *
   * @param retriesPerRequest the number of retries that one request adds, for example 0.1
   * @param maximumBalance the maximum balance, as a number of retries
   */
  public RetryBudget(double retriesPerRequest, double maximumBalance) {
    this.share = retriesPerRequest;
    this.maximumSaved = maximumBalance;
    saved = maximumBalance;
  }

  /** Records the first attempt of a request. */
  public void requestStarted() {
    saved = Math.min(maximumSaved, saved + share);
  }

  /**
   * Consumes one retry if the balance allows it.
   *
   * @return whether a retry was available
   */
  public boolean tryRetry() {
    if (saved < 1) {
      return false;
    }
    saved--;
    return true;
  }
}
