package org.lentilhinge.booking;

import java.util.Optional;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.message.PeerMessage;

/**
 * Reports to the gateway that this host does not own the key.
 *
 * @param request the request that the gateway forwarded
 * @param successor the host to which the table was handed over, or empty if it is not known
 */
public record BookingRedirect(RequestId request, Optional<HostId> successor)
    implements PeerMessage {}
