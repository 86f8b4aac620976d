package org.lentilhinge.grant;

import java.util.List;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * A request to an owner for grants, sent initially and for each renewal.
 *
 * @param gateway the requesting host
 * @param sequence the sequence number of the gateway's message
 * @param endpointDemands the requested versions
 */
public record GrantRequest(
    HostIncarnation gateway, long sequence, List<EndpointDemand> endpointDemands)
    implements PeerMessage {

  /**
   * Copies the list.
   *
   * @param gateway the requesting host
   * @param sequence the sequence number
   * @param endpointDemands the requested versions
   */
  public GrantRequest {
    endpointDemands = List.copyOf(endpointDemands);
  }
}
