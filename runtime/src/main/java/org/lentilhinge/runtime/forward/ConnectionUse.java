package org.lentilhinge.runtime.forward;

import java.util.Optional;
import org.lentilhinge.forward.ResponseMatch;

/**
 * The course of one use of a connection to an endpoint, for the log.
 *
 * @param uses the number of requests that the connection has carried, including this one
 * @param ageMillis the time since the connection was opened, in milliseconds
 * @param match the proof that the response belongs to the request; empty if there is no response
 * @param foreignResponses the number of responses that named other requests and were dropped
 * @param unnamedResponses the number of responses that named no request and were dropped
 */
record ConnectionUse(
    int uses,
    long ageMillis,
    Optional<ResponseMatch> match,
    int foreignResponses,
    int unnamedResponses) {

  /** The use of no connection. */
  static final ConnectionUse NONE = new ConnectionUse(0, 0, Optional.empty(), 0, 0);
}
