package org.lentilhinge.permit;

/** What a desk wants to be done. */
public sealed interface DeskCommand {

  /**
   * Answers an ask.
   *
   * @param host the host that asked
   * @param answer the answer
   * @param waitedMillis how long the ask waited, in milliseconds
   */
  record Answer(String host, PermitAnswer answer, long waitedMillis) implements DeskCommand {}

  /**
   * Orders the engine.
   *
   * @param order the order
   * @param reason why, for the logs
   */
  record Order(AdapterOrder order, String reason) implements DeskCommand {}
}
