package org.lentilhinge.host;

import org.lentilhinge.identity.FencingToken;

/** Tells how an order to an engine ended. */
public sealed interface OrderEnding {

  /**
   * The engine has carried it out.
   *
   * @param fencing the order's fencing number
   */
  record Done(FencingToken fencing) implements OrderEnding {}

  /**
   * The engine could not carry it out.
   *
   * @param message what the engine said
   */
  record Failed(String message) implements OrderEnding {}

  /**
   * The engine has refused the order's fencing number.
   *
   * @param fencing the order's fencing number
   * @param highest the highest number that the engine has seen
   */
  record Fenced(FencingToken fencing, FencingToken highest) implements OrderEnding {}

  /** It was dropped before its first byte was written, because this host no longer owns it. */
  record Dropped() implements OrderEnding {}

  /** No answer came; the engine may have carried it out or may do so yet. */
  record Unanswered() implements OrderEnding {}
}
