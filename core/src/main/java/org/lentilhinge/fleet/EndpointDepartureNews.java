package org.lentilhinge.fleet;

import java.util.List;
import org.lentilhinge.message.RelayedMessage;

/**
 * Incarnations of endpoints that leave, on their way to all hosts.
 *
 * @param host the host that announces them
 * @param relayed whether the receiver passes them on to the other hosts of its zone
 * @param incarnations the incarnations
 */
public record EndpointDepartureNews(String host, boolean relayed, List<String> incarnations)
    implements RelayedMessage {

  /**
   * Copies the list.
   *
   * @param host the host that announces them
   * @param relayed whether the receiver passes them on
   * @param incarnations the incarnations
   */
  public EndpointDepartureNews {
    incarnations = List.copyOf(incarnations);
  }

  @Override
  public EndpointDepartureNews withRelayed(boolean relays) {
    return new EndpointDepartureNews(host, relays, incarnations);
  }
}
