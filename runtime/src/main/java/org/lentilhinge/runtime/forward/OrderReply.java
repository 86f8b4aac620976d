package org.lentilhinge.runtime.forward;

/** How an engine answers an order. */
public enum OrderReply {
  /** The order is being carried out. */
  ACCEPTED,
  /** What was ordered holds already. */
  HOLDS,
  /** Another order is being carried out, or the count of orders differs. */
  CONFLICT,
  /** The engine has seen a higher fencing number. */
  FENCED,
  /** Another endpoint has the address. */
  MISDIRECTED,
  /** The engine does not know what is ordered. */
  INVALID,
  /** No answer came: the order may have been accepted. */
  UNKNOWN
}
