package org.lentilhinge.lease;

/**
 * The intervals of ownership leases, which must be equal on all hosts.
 *
 * @param leaseMillis the time for which the vote of a grantor is valid, in milliseconds
 * @param renewalIntervalMillis the interval between renewals, in milliseconds
 * @param driftMarginMillis how much earlier than the grantor a holder treats a vote as expired, in
 *     milliseconds
 * @param maximumOrderTransitMillis the maximum transit time of an order to an endpoint, in
 *     milliseconds
 * @param listRetentionMillis the time for which a replaced list of a zone's hosts stays active, in
 *     milliseconds
 */
public record LeaseSettings(
    long leaseMillis,
    long renewalIntervalMillis,
    long driftMarginMillis,
    long maximumOrderTransitMillis,
    long listRetentionMillis) {

  private static final long LEASE_MILLIS = 6_000;
  private static final long RENEWAL_INTERVAL_MILLIS = 2_000;
  private static final long DRIFT_MARGIN_MILLIS = 300;
  private static final long MAXIMUM_ORDER_TRANSIT_MILLIS = 2_000;
  private static final long RETRIES_PER_RENEWAL = 4;
  private static final long LIST_RETENTION_MILLIS = 30_000;

  /**
   * Checks that lists are retained for more than two leases and that renewals precede expiry.
   *
   * @param leaseMillis the validity of a vote, in milliseconds
   * @param renewalIntervalMillis the renewal interval, in milliseconds
   * @param driftMarginMillis the drift margin, in milliseconds
   * @param maximumOrderTransitMillis the maximum transit time of an order, in milliseconds
   * @param listRetentionMillis the retention of lists, in milliseconds
   * @throws IllegalArgumentException if the retention is too short or the interval too long
   */
  public LeaseSettings {
    if (listRetentionMillis <= 2 * leaseMillis) {
      throw new IllegalArgumentException("list retention must be longer than twice the lease");
    }
    if (renewalIntervalMillis + driftMarginMillis >= leaseMillis) {
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
        LEASE_MILLIS,
        RENEWAL_INTERVAL_MILLIS,
        DRIFT_MARGIN_MILLIS,
        MAXIMUM_ORDER_TRANSIT_MILLIS,
        LIST_RETENTION_MILLIS);
  }

  /**
   * Returns the time for which a holder may act on a vote after it has sent the request.
   *
   * @return the duration in milliseconds
   */
  public long holderLeaseMillis() {
    return leaseMillis - driftMarginMillis;
  }

  /**
   * Returns the interval between requests while grantors refuse because of another host.
   *
   * @return the interval in milliseconds
   */
  public long retryIntervalMillis() {
    return renewalIntervalMillis / RETRIES_PER_RENEWAL;
  }

  /**
   * Returns the maximum age of a zone's list for a holder that serves without a majority.
   *
   * @return the age in milliseconds
   */
  public long maximumListAgeMillis() {
    return listRetentionMillis - leaseMillis - driftMarginMillis;
  }
}
