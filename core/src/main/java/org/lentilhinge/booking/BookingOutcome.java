package org.lentilhinge.booking;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The outcome of a booking, as reported to its caller.
 *
 * @param state whether the call ran
 * @param reason the reason for the outcome
 * @param response the service's response, present only if the call ran and the response was kept
 * @param retryAfterMillis the time in milliseconds after which to repeat the call with the same
 *     key, or empty if repeating the call cannot change the outcome
 */
public record BookingOutcome(
    BookingState state,
    BookingReason reason,
    Optional<BookingResponse> response,
    OptionalLong retryAfterMillis) {

  /**
   * Returns the outcome of a call that ran.
   *
   * @param response the service's response
   * @return the outcome
   */
  public static BookingOutcome ran(BookingResponse response) {
    return new BookingOutcome(
        BookingState.RAN, BookingReason.ANSWERED, Optional.of(response), OptionalLong.empty());
  }

  /**
   * Returns the outcome of a call that ran and whose response was not kept.
   *
   * @return the outcome
   */
  public static BookingOutcome ranWithoutResponse() {
    return new BookingOutcome(
        BookingState.RAN, BookingReason.ANSWER_NOT_KEPT, Optional.empty(), OptionalLong.empty());
  }

  /**
   * Returns the outcome of a call that did not run and may be repeated with the same key.
   *
   * @param reason why the call did not run
   * @param retryAfterMillis the time in milliseconds after which to repeat the call
   * @return the outcome
   */
  public static BookingOutcome notRun(BookingReason reason, long retryAfterMillis) {
    return new BookingOutcome(
        BookingState.NOT_RUN, reason, Optional.empty(), OptionalLong.of(retryAfterMillis));
  }

  /**
   * Returns the outcome of a call that may have run and whose outcome will remain unknown.
   *
   * @param reason why the outcome is unknown
   * @return the outcome
   */
  public static BookingOutcome unknown(BookingReason reason) {
    return new BookingOutcome(BookingState.UNKNOWN, reason, Optional.empty(), OptionalLong.empty());
  }

  /**
   * Returns the outcome of a call that may have run and whose outcome a repeated call with the same
   * key may determine.
   *
   * @param reason why the outcome is unknown
   * @param retryAfterMillis the time in milliseconds after which to repeat the call
   * @return the outcome
   */
  public static BookingOutcome temporarilyUnknown(BookingReason reason, long retryAfterMillis) {
    return new BookingOutcome(
        BookingState.UNKNOWN, reason, Optional.empty(), OptionalLong.of(retryAfterMillis));
  }

  /**
   * Returns the outcome of a call whose key was used before with another call.
   *
   * @param state {@link BookingState#NOT_RUN}, or {@link BookingState#UNKNOWN} if a host that has
   *     stopped may have run the call
   * @return the outcome
   */
  public static BookingOutcome mismatch(BookingState state) {
    return new BookingOutcome(
        state, BookingReason.CALL_MISMATCH, Optional.empty(), OptionalLong.empty());
  }
}
