package org.lentilhinge.booking;

/**
 * The limits of bookings in time, number and size.
 *
 * @param repeatWindowMillis the time after its first use during which a caller may repeat an
 *     ordinary key, in milliseconds; see also {@link #quarantineMillis()}
 * @param retentionMillis the time for which a key is recorded, in milliseconds; at least as long as
 *     the key may be repeated
 * @param ticketLifetimeMillis the time after its issue during which a ticket may be used, in
 *     milliseconds
 * @param callTimeoutMillis the time for which the gateway waits for the outcome of a caller's
 *     booking, in milliseconds
 * @param serviceTimeoutMillis the time for which the partition owner waits for the service's
 *     response, in milliseconds
 * @param resendDelayMillis the delay before a forward without a reply is first sent again, in
 *     milliseconds
 * @param maximumKeys the maximum number of recorded keys
 * @param maximumRunningCalls the maximum number of concurrently running calls
 * @param maximumResponseBytes the maximum length of a response body that is kept for repeated
 *     calls, in bytes
 */
public record BookingLimits(
    long repeatWindowMillis,
    long retentionMillis,
    long ticketLifetimeMillis,
    long callTimeoutMillis,
    long serviceTimeoutMillis,
    long resendDelayMillis,
    int maximumKeys,
    int maximumRunningCalls,
    int maximumResponseBytes) {

  /** The default limits. */
  public static final BookingLimits DEFAULT =
      new BookingLimits(60_000, 86_400_000, 86_400_000, 15_000, 10_000, 250, 50_000, 500, 16_384);

  /**
   * Checks that no key expires while it may be repeated.
   *
   * @param repeatWindowMillis the repeat window, in milliseconds
   * @param retentionMillis the retention of keys, in milliseconds
   * @param ticketLifetimeMillis the lifetime of a ticket, in milliseconds
   * @param callTimeoutMillis the timeout of a caller's booking, in milliseconds
   * @param serviceTimeoutMillis the timeout of a call to the service, in milliseconds
   * @param resendDelayMillis the delay before the first resend, in milliseconds
   * @param maximumKeys the maximum number of recorded keys
   * @param maximumRunningCalls the maximum number of running calls
   * @param maximumResponseBytes the maximum length of a kept response body, in bytes
   * @throws IllegalArgumentException if the retention is shorter than the sum of the repeat window
   *     and the booking timeout, or shorter than the lifetime of a ticket
   */
  public BookingLimits {
    if (retentionMillis < repeatWindowMillis + callTimeoutMillis
        || retentionMillis < ticketLifetimeMillis) {
      throw new IllegalArgumentException(
          "retention of "
              + retentionMillis
              + " ms is shorter than the time for which a key may be used");
    }
  }

  /**
   * Returns the time for which a partition owner that took over without its predecessor's table
   * runs no ordinary keys.
   *
   * @return the duration in milliseconds, which covers the repeat window and a forward in flight
   */
  public long quarantineMillis() {
    return repeatWindowMillis + callTimeoutMillis;
  }
}
