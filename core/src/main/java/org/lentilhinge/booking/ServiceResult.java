package org.lentilhinge.booking;

import java.util.Optional;

/**
 * The result of an attempt to call a service.
 *
 * @param ending whether the call was sent and answered
 * @param answer the service's response, present only if the service responded
 */
public record ServiceResult(Ending ending, Optional<BookingAnswer> answer) {

  /** How far the attempt got. */
  public enum Ending {
    /** No byte of the call can have left this host. */
    NOT_SENT,
    /** Bytes of the call may have left this host, and no complete response arrived. */
    SENT,
    /** The service responded. */
    ANSWERED
  }

  /**
   * Returns the result of a call of which no byte can have left this host.
   *
   * @return the result
   */
  public static ServiceResult notSent() {
    return new ServiceResult(Ending.NOT_SENT, Optional.empty());
  }

  /**
   * Returns the result of a call that may have been sent and received no complete response.
   *
   * @return the result
   */
  public static ServiceResult sent() {
    return new ServiceResult(Ending.SENT, Optional.empty());
  }

  /**
   * Returns the result of a call to which the service responded, whatever the HTTP status.
   *
   * @param response the response
   * @return the result
   */
  public static ServiceResult answered(BookingAnswer response) {
    return new ServiceResult(Ending.ANSWERED, Optional.of(response));
  }
}
