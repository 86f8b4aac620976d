package org.lentilhinge.membership;

import java.util.List;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.message.PeerMessage;

/**
 * A message that reports to another zone which hosts of a zone are alive. Delegates exchange
 * summaries between zones, and forward changed summaries within their own zone.
 *
 * @param zone the summarized zone
 * @param digest the digest of the lists
 * @param configuration the highest configuration version in the zone
 * @param full whether the lists are present; otherwise the lists are those last sent with this
 *     digest
 * @param live the live hosts
 * @param leaving the leaving hosts
 * @param leavingEndpoints the leaving endpoints
 */
public record ZoneSummary(
    ZoneId zone,
    long digest,
    ConfigurationVersion configuration,
    boolean full,
    List<HostIncarnation> live,
    List<HostIncarnation> leaving,
    List<EndpointId> leavingEndpoints)
    implements PeerMessage {

  /**
   * Creates a summary with copies of the lists.
   *
   * @param zone the summarized zone
   * @param digest the digest
   * @param configuration the highest configuration version
   * @param full whether the lists are present
   * @param live the live hosts
   * @param leaving the leaving hosts
   * @param leavingEndpoints the leaving endpoints
   */
  public ZoneSummary {
    live = List.copyOf(live);
    leaving = List.copyOf(leaving);
    leavingEndpoints = List.copyOf(leavingEndpoints);
  }
}
