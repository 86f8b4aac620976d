package org.lentilhinge.runtime.forward;

/** The result of an order, as the engine reports it. */
public enum OrderResult {
  /** The engine executes the order. */
  ACCEPTED,
  /** The ordered state is already reached. */
  HOLDS,
  /** Another order is being executed, or the count of orders differs from the expected one. */
  CONFLICT,
  /** The engine has seen a higher fencing token. */
  FENCED,
  /** Another endpoint now uses the address. */
  MISDIRECTED,
  /** The engine does not know the ordered model or adapter. */
  INVALID,
  /** The order was not sent, because it might no longer be sent once there was a connection. */
  NOT_SENT,
  /** No valid response was received: the order may have been accepted. */
  UNKNOWN
}
