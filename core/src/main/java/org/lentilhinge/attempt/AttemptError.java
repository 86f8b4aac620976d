package org.lentilhinge.attempt;

import java.util.OptionalLong;

/**
 * Reports to a caller that its response is incomplete and will not be completed.
 *
 * @param cause the cause
 * @param state whether the request ran
 * @param deliveredTokens the number of tokens that the caller has received
 * @param retryAfterMillis the time after which the caller may retry, in milliseconds, or empty if a
 *     retry can succeed only after a change
 */
public record AttemptError(
    Cause cause, RunState state, int deliveredTokens, OptionalLong retryAfterMillis) {

  /** Lists the causes for which a response is abandoned. */
  public enum Cause {
    /** No endpoint could accept the request. */
    NO_ENDPOINT,
    /** All attempts that the limits allow have failed. */
    ATTEMPTS_EXHAUSTED,
    /** Too many requests are failing for this request to be retried. */
    RETRY_BUDGET_EXHAUSTED,
    /** The deadline of the request has passed. */
    DEADLINE
  }
}
