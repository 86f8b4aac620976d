package org.lentilhinge.runtime.service;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The result of an attempt to execute a call.
 *
 * @param execution whether the service executed the call; {@code RAN} if and only if it responded
 * @param response the response, if it is complete
 * @param detail the observed event, for the log and for problem details
 * @param retryAfterMillis the delay after which a repetition of the call with the same idempotency
 *     key may return the outcome, in milliseconds, or empty if the outcome will not become known
 */
public record ServiceAttemptResult(
    Execution execution,
    Optional<ServiceResponse> response,
    String detail,
    OptionalLong retryAfterMillis) {

  /**
   * Creates a result without a delay for a repetition.
   *
   * @param execution whether the service executed the call
   * @param response the response, if it is complete
   * @param detail the observed event
   */
  public ServiceAttemptResult(
      Execution execution, Optional<ServiceResponse> response, String detail) {
    this(execution, response, detail, OptionalLong.empty());
  }

  /**
   * Creates the result of a call of which no byte can have been sent.
   *
   * @param detail the observed event
   * @return the result
   */
  public static ServiceAttemptResult notRun(String detail) {
    return new ServiceAttemptResult(Execution.NOT_RUN, Optional.empty(), detail);
  }

  /**
   * Creates the result of a call to which the service responded.
   *
   * @param response the response
   * @return the result
   */
  public static ServiceAttemptResult answered(ServiceResponse response) {
    return new ServiceAttemptResult(
        Execution.RAN, Optional.of(response), "answered " + response.status());
  }

  /**
   * Creates the result of a call of which a byte may have been sent and which has no complete
   * response.
   *
   * @param detail the observed event
   * @return the result
   */
  public static ServiceAttemptResult unknown(String detail) {
    return new ServiceAttemptResult(Execution.UNKNOWN, Optional.empty(), detail);
  }
}
