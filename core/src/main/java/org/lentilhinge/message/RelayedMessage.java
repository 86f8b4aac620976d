package org.lentilhinge.message;

/**
 * A message for all hosts. In large zones one host receives it first and passes it on to the other
 * hosts of its zone.
 */
public interface RelayedMessage extends PeerMessage {

  /**
   * Returns the host that created the message.
   *
   * @return the host's name
   */
  String host();

  /**
   * Returns whether the receiver has to pass the message on.
   *
   * @return whether the receiver is a relay of its zone
   */
  boolean relayed();

  /**
   * Returns the same message for another receiver.
   *
   * @param relays whether the receiver has to pass the message on
   * @return the message
   */
  RelayedMessage withRelayed(boolean relays);
}
