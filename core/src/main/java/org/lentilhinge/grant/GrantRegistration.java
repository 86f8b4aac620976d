package org.lentilhinge.grant;

import java.util.List;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * Reports to a new owner all grants that a gateway has from former owners.
 *
 * @param gateway the gateway
 * @param sequence the sequence number of the gateway's message
 * @param uptimeMillis the time since the gateway started, in milliseconds
 * @param endpoints the grants of the gateway on each announced endpoint
 */
public record GrantRegistration(
    HostIncarnation gateway, long sequence, long uptimeMillis, List<EndpointGrants> endpoints)
    implements PeerMessage {

  /**
   * Copies the list.
   *
   * @param gateway the gateway
   * @param sequence the sequence number
   * @param uptimeMillis the uptime, in milliseconds
   * @param endpoints the grants
   */
  public GrantRegistration {
    endpoints = List.copyOf(endpoints);
  }
}
