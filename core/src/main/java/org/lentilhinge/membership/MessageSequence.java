package org.lentilhinge.membership;

import org.lentilhinge.identity.HostIncarnation;

/** Assigns each incarnation of a host a range of message numbers of its own. */
public final class MessageSequence {

  private static final int BITS_PER_INCARNATION = 20;

  private MessageSequence() {}

  /**
   * Returns the number that precedes the first message number of an incarnation. A response to a
   * message of an earlier incarnation has a lower number and is recognized by that. An incarnation
   * that sends more messages than its range has numbers continues in the range of an incarnation
   * that would have started one millisecond later.
   *
   * @param incarnation the incarnation
   * @return the number
   */
  public static long baseNumber(HostIncarnation incarnation) {
    return incarnation.number() << BITS_PER_INCARNATION;
  }
}
