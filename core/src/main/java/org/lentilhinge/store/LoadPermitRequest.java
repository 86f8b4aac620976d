package org.lentilhinge.store;

import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;

/**
 * A message that requests load permits from another host of the zone.
 *
 * @param borrower the host that requests the permits
 * @param serial the request's number, which the grant repeats
 * @param waitingRequestSeconds the demand, as in {@link LoadPermits#reportDemand}
 */
public record LoadPermitRequest(HostId borrower, long serial, double waitingRequestSeconds)
    implements PeerMessage {}
