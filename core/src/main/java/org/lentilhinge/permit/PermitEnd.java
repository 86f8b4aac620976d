package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * Gives a permit back, or withdraws an ask.
 *
 * @param ask the ask's number
 * @param ending how the permit's request ended
 */
public record PermitEnd(long ask, Ending ending) implements PeerMessage {

  /** Names the ways in which a permit ends. */
  public enum Ending {
    /** The request has run, or the caller left. */
    DONE,
    /** The engine said that the adapter or model is not there. */
    ABSENT,
    /** The engine did not take the request. */
    REFUSED
  }
}
