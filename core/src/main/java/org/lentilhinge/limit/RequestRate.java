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

  /** The time in which a brittle endpoint counts its refusals, in milliseconds. */
  private static final long REFUSAL_WINDOW_MILLIS = 1_000;

  /** The fraction of the refusals that it bears after which nothing is sent; others may follow. */
  private static final double BLOCKING_REFUSAL_FRACTION = 0.34;

  private RequestLimit limit = RequestLimit.UNLIMITED;
  private double share = 1;
  private double available;
  private int refusals;
  private long refusalsSinceMillis;
  private long blockedUntilMillis;
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
    if (!limit.hasRate()) {
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

  /**
   * Records that the endpoint refused a request for want of room. If it is brittle, no further one
   * is sent in the same second once it has refused a part of what it bears.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void recordRefusal(long nowMillis) {
    if (!limit.isBrittle()) {
      return;
    }
    if (nowMillis - refusalsSinceMillis > REFUSAL_WINDOW_MILLIS) {
      refusalsSinceMillis = nowMillis;
      refusals = 0;
    }
    refusals++;
    if (refusals >= limit.refusalsPerSecond() * BLOCKING_REFUSAL_FRACTION) {
      blockedUntilMillis = nowMillis + REFUSAL_WINDOW_MILLIS;
    }
  }

  private double perMillisecond() {
    return Math.max(limit.perSecond() * share, MINIMUM_PER_SECOND) / MILLIS_PER_SECOND;
  }

  private void refill(long nowMillis) {
    if (!limit.hasRate()) {
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
    long blockedMillis = Math.max(0, blockedUntilMillis - nowMillis);
    if (!limit.hasRate()) {
      return blockedMillis;
    }
    refill(nowMillis);
    double missing = requestsAhead + 1 - available;
    long rateMillis = missing <= 0 ? 0 : (long) Math.ceil(missing / perMillisecond());
    return Math.max(blockedMillis, rateMillis);
  }

  /**
   * Takes the turn of a request.
   *
   * @param nowMillis the current time, in milliseconds
   * @return whether the request may be sent now
   */
  public boolean tryTake(long nowMillis) {
    if (nowMillis < blockedUntilMillis) {
      return false;
    }
    if (!limit.hasRate()) {
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
