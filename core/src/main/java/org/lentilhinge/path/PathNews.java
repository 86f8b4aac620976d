package org.lentilhinge.path;

import org.lentilhinge.message.RelayedMessage;

/**
 * Tells all hosts whether a host has lost its paths to the endpoints.
 *
 * @param host the host
 * @param relayed whether the receiver passes it on to the other hosts of its zone
 * @param cutOff whether the host has lost its paths
 */
public record PathNews(String host, boolean relayed, boolean cutOff) implements RelayedMessage {

  @Override
  public PathNews withRelayed(boolean relays) {
    return new PathNews(host, relays, cutOff);
  }
}
