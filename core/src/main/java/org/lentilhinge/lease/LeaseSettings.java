package org.lentilhinge.lease;

/**
 * The intervals of ownership leases, which must be equal on all hosts.
 *
 * @param leaseMillis how long the vote of a grantor is valid, in milliseconds
 * @param renewMillis the interval between renewals, in milliseconds
 * @param driftMarginMillis how much earlier than the grantor a holder treats a vote as expired, in
 *     milliseconds
 * @param orderFlightMillis the maximum transit time of an order to an endpoint, in milliseconds
 * @param listMemoryMillis how long a replaced list of a zone's hosts stays active, in milliseconds
 */
public record LeaseSettings(
    long leaseMillis,
    long renewMillis,
    long driftMarginMillis,
    long orderFlightMillis,
    long listMemoryMillis) {

  private static final long LEASE_MILLIS = 6_000;
  private static final long RENEW_MILLIS = 2_000;
  private static final long DRIFT_MARGIN_MILLIS = 300;
  private static final long ORDER_FLIGHT_MILLIS = 2_000;
  private static final long RETRIES_PER_RENEWAL = 4;
  private static final long LIST_MEMORY_MILLIS = 30_000;

  /**
   * Checks that lists are retained for more than two leases and that renewals precede expiry.
   *
   * @param leaseMillis the validity of a vote
   * @param renewMillis the renewal interval
   * @param driftMarginMillis the drift margin
   * @param orderFlightMillis the maximum transit time of an order
   * @param listMemoryMillis the retention of lists
   * @throws IllegalArgumentException if the retention is too short or the interval too long
   */
  public LeaseSettings {
    if (listMemoryMillis <= 2 * leaseMillis) {
      throw new IllegalArgumentException("list retention must be longer than twice the lease");
    }
    if (renewMillis + driftMarginMillis >= leaseMillis) {
      throw new IllegalArgumentException(
          "renewal interval plus drift margin must be shorter than the lease");
    }
  }

  /**
   * Returns the default settings.
   *
   * @return the settings
   */
  public static LeaseSettings defaults() {
    return new LeaseSettings(
        LEASE_MILLIS, RENEW_MILLIS, DRIFT_MARGIN_MILLIS, ORDER_FLIGHT_MILLIS, LIST_MEMORY_MILLIS);
  }

  /**
   * Returns how long a holder may act on a vote after it has sent the request.
   *
   * @return the duration in milliseconds
   */
  public long holdMillis() {
    return leaseMillis - driftMarginMillis;
  }

  /**
   * Returns the interval between requests while grantors refuse because of another host.
   *
   * @return the interval in milliseconds
   */
  public long retryMillis() {
    return renewMillis / RETRIES_PER_RENEWAL;
  }

  /**
   * Returns the maximum age of a zone's list for a holder that serves without a majority.
   *
   * @return the age in milliseconds
   */
  public long listFreshMillis() {
    return listMemoryMillis - leaseMillis - driftMarginMillis;
  }
}
