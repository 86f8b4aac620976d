package org.lentilhinge.permit;

import java.util.List;
import org.lentilhinge.message.PeerMessage;

/**
 * Tells the other hosts that this one runs, and which hosts it knows.
 *
 * @param zone the sender's availability zone
 * @param region the sender's region
 * @param leaving whether the sender stops as planned
 * @param hosts the addresses of all hosts that the sender hears from
 */
public record HostBeacon(String zone, String region, boolean leaving, List<String> hosts)
    implements PeerMessage {

  /**
   * Copies the hosts.
   *
   * @param zone the zone
   * @param region the region
   * @param leaving whether the sender stops
   * @param hosts the hosts
   */
  public HostBeacon {
    hosts = List.copyOf(hosts);
  }
}
