package org.lentilhinge.booking;

import java.util.Optional;

/**
 * The result of an attempt to call a service.
 *
 * @param status whether the call was sent and answered
 * @param response the service's response, present only if the service responded
 */
public record ServiceResult(Status status, Optional<BookingResponse> response) {

  /** The progress of an attempt. */
  public enum Status {
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
    return new ServiceResult(Status.NOT_SENT, Optional.empty());
  }

  /**
   * Returns the result of a call that may have been sent and received no complete response.
   *
   * @return the result
   */
  public static ServiceResult sent() {
    return new ServiceResult(Status.SENT, Optional.empty());
  }

  /**
   * Returns the result of a call to which the service responded, with any HTTP status.
   *
   * @param response the response
   * @return the result
   */
  public static ServiceResult answered(BookingResponse response) {
    return new ServiceResult(Status.ANSWERED, Optional.of(response));
  }
}
