package org.lentilhinge.limit;

/**
 * The rate of requests that an endpoint accepts from all hosts together, as it states it in its
 * responses.
 *
 * @param perSecond the number of requests per second; infinite if the endpoint states no limit
 */
public record RequestLimit(double perSecond) {

  /** The limit of an endpoint that states none. */
  public static final RequestLimit UNLIMITED = new RequestLimit(Double.POSITIVE_INFINITY);

  /**
   * Checks the rate.
   *
   * @param perSecond the number of requests per second
   * @throws IllegalArgumentException if the rate is negative or not a number
   */
  public RequestLimit {
    if (Double.isNaN(perSecond) || perSecond < 0) {
      throw new IllegalArgumentException("invalid request limit: " + perSecond);
    }
  }

  /**
   * Returns whether the endpoint accepts any rate.
   *
   * @return whether there is no limit
   */
  public boolean isUnlimited() {
    return Double.isInfinite(perSecond);
  }
}
