package org.lentilhinge.runtime.service;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The result of an attempt to execute a call.
 *
 * @param execution whether the service executed the call; {@code RAN} if and only if it responded
 * @param answer the response, if it is complete
 * @param detail the observed event, for the log and for problem details
 * @param retryAfterMillis the delay after which a repetition of the call with the same idempotency
 *     key may return the outcome, in milliseconds, or empty if no more will become known
 */
public record ServiceReply(
    Execution execution,
    Optional<ServiceAnswer> answer,
    String detail,
    OptionalLong retryAfterMillis) {

  /**
   * Creates a result without a delay for a repetition.
   *
   * @param execution whether the service executed the call
   * @param response the response, if it is complete
   * @param detail the observed event
   */
  public ServiceReply(Execution execution, Optional<ServiceAnswer> response, String detail) {
    this(execution, response, detail, OptionalLong.empty());
  }

  /**
   * Creates the result of a call of which no byte can have been sent.
   *
   * @param detail the observed event
   * @return the result
   */
  public static ServiceReply notRun(String detail) {
    return new ServiceReply(Execution.NOT_RUN, Optional.empty(), detail);
  }

  /**
   * Creates the result of a call to which the service responded.
   *
   * @param response the response
   * @return the result
   */
  public static ServiceReply answered(ServiceAnswer response) {
    return new ServiceReply(Execution.RAN, Optional.of(response), "answered " + response.status());
  }

  /**
   * Creates the result of a call of which a byte may have been sent and which has no complete
   * response.
   *
   * @param detail the observed event
   * @return the result
   */
  public static ServiceReply unknown(String detail) {
    return new ServiceReply(Execution.UNKNOWN, Optional.empty(), detail);
  }
}
