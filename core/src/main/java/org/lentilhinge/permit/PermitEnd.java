package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * Gives a permit back, or withdraws an ask.
 *
 * @param ask the ask's number
 * @param ending how the permit's request ended
 * @param firstMillis the time from sending to the first part of the answer, in milliseconds; 0 if
 *     none came
 */
public record PermitEnd(long ask, Ending ending, long firstMillis) implements PeerMessage {

  /** Names the ways in which a permit ends. */
  public enum Ending {
    /** The request has run, or the caller left. */
    DONE,
    /** The engine said that the adapter or model is not there. */
    ABSENT,
    /** The engine did not take the request. */
    REFUSED,
    /** The engine could not be reached. */
    UNREACHABLE
  }
}
