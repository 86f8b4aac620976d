package org.lentilhinge.permit;

import java.util.List;
import org.lentilhinge.message.PeerMessage;

/**
 * A heartbeat, which reports to the other hosts that the sender is running and from which hosts it
 * receives heartbeats.
 *
 * @param zone the sender's availability zone
 * @param region the sender's region
 * @param leaving whether the sender is in a planned shutdown
 * @param hosts the addresses of all hosts from which the sender receives heartbeats
 */
public record HostHeartbeat(String zone, String region, boolean leaving, List<String> hosts)
    implements PeerMessage {

  /**
   * Copies the hosts.
   *
   * @param zone the zone
   * @param region the region
   * @param leaving whether the sender is shutting down
   * @param hosts the hosts
   */
  public HostHeartbeat {
    hosts = List.copyOf(hosts);
  }
}
