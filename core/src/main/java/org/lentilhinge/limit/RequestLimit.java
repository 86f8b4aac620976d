package org.lentilhinge.limit;

import org.lentilhinge.message.AbsentMeans;

/**
 * What an endpoint accepts from all hosts together, as it states it in its responses.
 *
 * @param perSecond the number of requests per second; infinite if the endpoint states no rate
 * @param refusalsPerSecond the number of requests that the endpoint can refuse in a second for want
 *     of room without a crash; infinite if it states none
 */
public record RequestLimit(
    double perSecond, @AbsentMeans(Double.POSITIVE_INFINITY) double refusalsPerSecond) {

  /** The limit of an endpoint that states none. */
  public static final RequestLimit UNLIMITED =
      new RequestLimit(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

  /**
   * Checks the rates.
   *
   * @param perSecond the number of requests per second
   * @param refusalsPerSecond the number of refusals per second
   * @throws IllegalArgumentException if a rate is negative or not a number
   */
  public RequestLimit {
    check(perSecond);
    check(refusalsPerSecond);
  }

  private static void check(double rate) {
    if (Double.isNaN(rate) || rate < 0) {
      throw new IllegalArgumentException("invalid rate in a request limit: " + rate);
    }
  }

  /**
   * Returns a limit of the requests per second alone.
   *
   * @param perSecond the number of requests per second
   * @return the limit
   */
  public static RequestLimit ofRate(double perSecond) {
    return new RequestLimit(perSecond, Double.POSITIVE_INFINITY);
  }

  /**
   * Returns whether the endpoint accepts any number of requests.
   *
   * @return whether there is no limit
   */
  public boolean isUnlimited() {
    return !hasRate() && !isBrittle();
  }

  /**
   * Returns whether the requests per second are limited.
   *
   * @return whether the endpoint states a rate
   */
  public boolean hasRate() {
    return !Double.isInfinite(perSecond);
  }

  /**
   * Returns whether the endpoint crashes if it has to refuse many requests.
   *
   * @return whether the refusals per second are limited
   */
  public boolean isBrittle() {
    return !Double.isInfinite(refusalsPerSecond);
  }

  /**
   * Returns whether this limit allows something that another one does not.
   *
   * @param other the other limit
   * @return whether one of the rates is higher
   */
  public boolean isLooserThan(RequestLimit other) {
    return perSecond > other.perSecond || refusalsPerSecond > other.refusalsPerSecond;
  }
}
