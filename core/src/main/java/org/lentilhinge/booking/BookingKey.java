package org.lentilhinge.booking;

import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ServiceId;

/**
 * Identifies a booking. The same idempotency key of two callers identifies two bookings.
 *
 * @param service the service
 * @param caller the caller
 * @param value the idempotency key as the caller sent it: a ticket, or any other text as an
 *     ordinary key
 */
public record BookingKey(ServiceId service, CallerId caller, String value) {

  /** The longest accepted idempotency key, in characters. */
  public static final int MAXIMUM_LENGTH = 128;

  /**
   * Validates the idempotency key.
   *
   * @param service the service
   * @param caller the caller
   * @param value the idempotency key
   * @throws IllegalArgumentException if the idempotency key is empty or too long
   */
  public BookingKey {
    if (value.isEmpty() || value.length() > MAXIMUM_LENGTH) {
      throw new IllegalArgumentException(
          "idempotency key has " + value.length() + " characters, not 1 to " + MAXIMUM_LENGTH);
    }
  }
}
