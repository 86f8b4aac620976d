package org.lentilhinge.admission;

import org.lentilhinge.identity.RequestId;

/** The decision of an admission queue on a request. */
public sealed interface AdmissionCommand {

  /**
   * Returns the request.
   *
   * @return the request
   */
  RequestId request();

  /**
   * Starts the request, which is then routed.
   *
   * @param request the request
   */
  record Start(RequestId request) implements AdmissionCommand {}

  /**
   * Refuses the request at once, without running it.
   *
   * @param request the request
   * @param reason the reason
   * @param retryAfterMillis the time after which the caller may retry, in milliseconds
   */
  record Refuse(RequestId request, AdmissionReason reason, long retryAfterMillis)
      implements AdmissionCommand {}
}
