package org.lentilhinge.host;

import org.lentilhinge.identity.FencingToken;

/** The outcome of an order to an engine. */
public sealed interface OrderOutcome {

  /**
   * The engine has executed the order.
   *
   * @param fencing the fencing token of the order
   */
  record Done(FencingToken fencing) implements OrderOutcome {}

  /**
   * The engine could not execute the order.
   *
   * @param message the message of the engine
   */
  record Failed(String message) implements OrderOutcome {}

  /**
   * The engine has rejected the fencing token of the order.
   *
   * @param fencing the fencing token of the order
   * @param highest the highest fencing token that the engine has received
   */
  record Fenced(FencingToken fencing, FencingToken highest) implements OrderOutcome {}

  /**
   * The order was dropped before its first byte was written, because this host no longer owns the
   * engine.
   */
  record Dropped() implements OrderOutcome {}

  /** No answer arrived; the engine may have executed the order or may still execute it. */
  record Unanswered() implements OrderOutcome {}
}
