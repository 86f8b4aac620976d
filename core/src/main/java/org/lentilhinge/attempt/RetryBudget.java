package org.lentilhinge.attempt;

/**
 * Limits retries to a fraction of the requests, so that a failure cannot multiply the load. Each
 * request adds a fraction of a retry to the budget, up to a maximum balance.
 */
public final class RetryBudget {

  private final double retriesPerRequest;
  private final double maximumBalance;
  private double balance;

  /**
   * Creates a budget that starts with its maximum balance.
   *
   * @param retriesPerRequest the number of retries that one request adds, for example 0.1
   * @param maximumBalance the maximum balance, as a number of retries
   */
  public RetryBudget(double retriesPerRequest, double maximumBalance) {
    this.retriesPerRequest = retriesPerRequest;
    this.maximumBalance = maximumBalance;
    balance = maximumBalance;
  }

  /** Records the first attempt of a request. */
  public void recordRequest() {
    balance = Math.min(maximumBalance, balance + retriesPerRequest);
  }

  /**
   * Consumes one retry if the balance allows it.
   *
   * @return whether a retry was available
   */
  public boolean tryRetry() {
    if (balance < 1) {
      return false;
    }
    balance--;
    return true;
  }
}
