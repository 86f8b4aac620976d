package org.lentilhinge.host;

import org.lentilhinge.identity.FencingNumber;

/** The outcome of an order to an engine. */
public sealed interface OrderEnding {

  /**
   * The engine has executed the order.
   *
   * @param fencing the fencing token of the order
   */
  record Done(FencingNumber fencing) implements OrderEnding {}

  /**
   * The engine could not execute the order.
   *
   * @param message the message of the engine
   */
  record Failed(String message) implements OrderEnding {}

  /**
   * The engine has rejected the fencing token of the order.
   *
   * @param fencing the fencing token of the order
   * @param highest the highest fencing token that the engine has seen
   */
  record Fenced(FencingNumber fencing, FencingNumber highest) implements OrderEnding {}

  /**
   * The order was dropped before its first byte was written, because this host no longer owns the
   * engine.
   */
  record Dropped() implements OrderEnding {}

  /** No answer arrived; the engine may have executed the order or may still execute it. */
  record Unanswered() implements OrderEnding {}
}
