package org.lentilhinge.limit;

/**
 * Paces the requests to one endpoint on the host that issues the permits for it (a token bucket).
 * After a change from no limit the bucket is empty: requests sent before it may still arrive.
 */
public final class RequestRate {

  /** The time whose requests may be saved up while none is sent, in seconds. */
  private static final double BURST_SECONDS = 0.25;

  /**
   * The lowest rate at which requests are sent. A response to a request is the only way to learn
   * that the limit has ended.
   */
  private static final double MINIMUM_PER_SECOND = 0.1;

  /**
   * The least number of requests that may be saved up. While one waits for a load of its adapter,
   * the turn of the next one comes up.
   */
  private static final double MINIMUM_BURST = 2;

  private static final double MILLIS_PER_SECOND = 1_000;

  private RequestLimit limit = RequestLimit.UNLIMITED;
  private double share = 1;
  private double available;
  private long refilledAtMillis;

  /** Creates a rate without a limit. */
  public RequestRate() {}

  /**
   * Sets the limit of the endpoint.
   *
   * @param newLimit the limit
   * @param nowMillis the current time, in milliseconds
   */
  public void setLimit(RequestLimit newLimit, long nowMillis) {
    if (limit.isUnlimited()) {
      available = 0;
      refilledAtMillis = nowMillis;
    } else {
      refill(nowMillis);
    }
    limit = newLimit;
  }

  /**
   * Sets the fraction of the limit that this host and those that it serves may use.
   *
   * @param fraction the fraction, greater than 0 and at most 1
   * @param nowMillis the current time, in milliseconds
   */
  public void setShare(double fraction, long nowMillis) {
    if (fraction != share) {
      refill(nowMillis);
      share = fraction;
    }
  }

  private double perMillisecond() {
    return Math.max(limit.perSecond() * share, MINIMUM_PER_SECOND) / MILLIS_PER_SECOND;
  }

  private void refill(long nowMillis) {
    if (limit.isUnlimited()) {
      return;
    }
    double capacity = Math.max(MINIMUM_BURST, perMillisecond() * MILLIS_PER_SECOND * BURST_SECONDS);
    double added = perMillisecond() * Math.max(0, nowMillis - refilledAtMillis);
    available = Math.min(capacity, available + added);
    refilledAtMillis = nowMillis;
  }

  /**
   * Returns how long a request has to wait for its turn.
   *
   * @param requestsAhead the number of requests that are sent before it
   * @param nowMillis the current time, in milliseconds
   * @return the time, in milliseconds; 0 if it may be sent now
   */
  public long waitMillis(int requestsAhead, long nowMillis) {
    if (limit.isUnlimited()) {
      return 0;
    }
    refill(nowMillis);
    double missing = requestsAhead + 1 - available;
    return missing <= 0 ? 0 : (long) Math.ceil(missing / perMillisecond());
  }

  /**
   * Takes the turn of a request.
   *
   * @param nowMillis the current time, in milliseconds
   * @return whether the request may be sent now
   */
  public boolean tryTake(long nowMillis) {
    if (limit.isUnlimited()) {
      return true;
    }
    refill(nowMillis);
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }
}
