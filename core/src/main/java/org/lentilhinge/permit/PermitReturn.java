package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * Releases a permit, or withdraws a permit request.
 *
 * @param permitId the id of the permit request
 * @param outcome the outcome of the request that had the permit
 * @param firstEventMillis the time from sending the request to the first event of the response, in
 *     milliseconds; 0 if no event arrived
 */
public record PermitReturn(long permitId, Outcome outcome, long firstEventMillis)
    implements PeerMessage {

  /** The outcomes of a request that had a permit. */
  public enum Outcome {
    /** The request has run, or its caller has disconnected. */
    DONE,
    /** The engine reported that the adapter or the base model is not loaded. */
    ABSENT,
    /** The engine refused the request. */
    REFUSED,
    /** The engine could not be reached. */
    UNREACHABLE
  }
}
