package org.lentilhinge.membership;

import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.message.PeerMessage;

/**
 * A request for the full summary of a zone.
 *
 * @param sender the host that sends the request
 * @param zone the zone to summarize
 */
public record ZoneSummaryRequest(HostId sender, ZoneId zone) implements PeerMessage {}
