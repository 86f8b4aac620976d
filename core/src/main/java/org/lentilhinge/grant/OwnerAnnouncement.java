package org.lentilhinge.grant;

import java.util.List;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * Announces to the gateways that a host has become the owner of endpoints. Each gateway replies
 * with a {@link GrantRegistration}, also when it has no grants.
 *
 * @param owner the owner
 * @param endpoints the endpoints
 */
public record OwnerAnnouncement(HostIncarnation owner, List<EndpointId> endpoints)
    implements PeerMessage {

  /**
   * Copies the list.
   *
   * @param owner the owner
   * @param endpoints the endpoints
   */
  public OwnerAnnouncement {
    endpoints = List.copyOf(endpoints);
  }
}
