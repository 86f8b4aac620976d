package org.lentilhinge.grant;

import java.util.List;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * Reports to an owner that the gateway has no request in flight on these versions and no longer
 * uses the grants.
 *
 * @param gateway the gateway
 * @param sequence the sequence number of the gateway's message
 * @param released the released versions
 */
public record GrantRelease(HostIncarnation gateway, long sequence, List<EndpointVersions> released)
    implements PeerMessage {

  /**
   * Copies the list.
   *
   * @param gateway the gateway
   * @param sequence the sequence number
   * @param released the released versions
   */
  public GrantRelease {
    released = List.copyOf(released);
  }
}
