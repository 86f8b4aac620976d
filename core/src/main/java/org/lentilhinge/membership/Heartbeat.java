package org.lentilhinge.membership;

import java.util.List;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.message.PeerMessage;

/**
 * Reports to the other hosts of the sender's zone that the sender is alive.
 *
 * @param sender the sender's incarnation
 * @param zone the sender's zone
 * @param leaving whether the sender is stopping
 * @param configuration the sender's configuration version
 * @param silentHosts the listed hosts of the zone from which the sender receives no heartbeats
 * @param leavingHosts the hosts of the zone that the sender has recently found to be leaving
 * @param leavingEndpoints the endpoints that the sender knows to be leaving
 */
public record Heartbeat(
    HostIncarnation sender,
    ZoneId zone,
    boolean leaving,
    ConfigurationVersion configuration,
    List<HostId> silentHosts,
    List<HostId> leavingHosts,
    List<LeavingEndpoint> leavingEndpoints)
    implements PeerMessage {

  /**
   * Creates a heartbeat with copies of the lists.
   *
   * @param sender the sender's incarnation
   * @param zone the sender's zone
   * @param leaving whether the sender is stopping
   * @param configuration the sender's configuration version
   * @param silentHosts the hosts from which the sender receives no heartbeats
   * @param leavingHosts the leaving hosts
   * @param leavingEndpoints the leaving endpoints
   */
  public Heartbeat {
    silentHosts = List.copyOf(silentHosts);
    leavingHosts = List.copyOf(leavingHosts);
    leavingEndpoints = List.copyOf(leavingEndpoints);
  }
}
