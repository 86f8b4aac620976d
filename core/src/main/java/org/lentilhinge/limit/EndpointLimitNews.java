package org.lentilhinge.limit;

import java.util.List;
import org.lentilhinge.message.RelayedMessage;

/**
 * Limits that a host has read from responses, on their way to all hosts.
 *
 * @param host the host that received the responses
 * @param relayed whether the receiver passes them on to the other hosts of its zone
 * @param limits the limits
 */
public record EndpointLimitNews(String host, boolean relayed, List<EndpointLimit> limits)
    implements RelayedMessage {

  /**
   * Copies the list.
   *
   * @param host the host that received the responses
   * @param relayed whether the receiver passes them on
   * @param limits the limits
   */
  public EndpointLimitNews {
    limits = List.copyOf(limits);
  }

  @Override
  public EndpointLimitNews withRelayed(boolean relays) {
    return new EndpointLimitNews(host, relays, limits);
  }
}
