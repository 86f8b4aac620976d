package org.lentilhinge.booking;

/** The reason for a booking's outcome. */
public enum BookingReason {
  /** The service responded. */
  ANSWERED,
  /**
   * The service responded earlier, with a body that exceeds the maximum length of a kept response.
   */
  ANSWER_NOT_KEPT,
  /** No instance of the service accepted a connection, so nothing was sent. */
  SERVICE_UNREACHABLE,
  /** The call was sent, and no response arrived. */
  SERVICE_SILENT,
  /** The owner of the key could not be reached or did not reply in time. */
  HOME_UNREACHABLE,
  /** The host that recorded the key stopped without handing over its table. */
  HOME_LOST,
  /** The key is older than the retention of the owner's table. */
  FORGOTTEN,
  /** The key was used before with another call. */
  CALL_MISMATCH,
  /** The owner has reached its limit of running calls. */
  OVERLOADED,
  /** The owner's table of keys is full. */
  TABLE_FULL,
  /** The configuration declares no such service. */
  SERVICE_UNDECLARED
}
