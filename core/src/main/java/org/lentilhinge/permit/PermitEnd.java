package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * Releases a permit, or withdraws a permit request.
 *
 * @param ask the id of the permit request
 * @param ending the outcome of the request that had the permit
 * @param firstMillis the time from sending the request to the first event of the answer, in
 *     milliseconds; 0 if none arrived
 */
public record PermitEnd(long ask, Ending ending, long firstMillis) implements PeerMessage {

  /** The outcomes of a request that had a permit. */
  public enum Ending {
    /** The request has run, or the caller disconnected. */
    DONE,
    /** The engine reported that the adapter or the base model is not loaded. */
    ABSENT,
    /** The engine refused the request. */
    REFUSED,
    /** The engine could not be reached. */
    UNREACHABLE
  }
}
