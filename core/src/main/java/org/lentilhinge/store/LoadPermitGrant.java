package org.lentilhinge.store;

import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;

/**
 * A message that lends load permits. The starts are transferred permanently; the in-flight loads
 * are a lease that expires after its duration.
 *
 * @param lender the host that lends the permits
 * @param serial the number of the request to which the grant responds
 * @param starts the number of loads that the borrower may start, which may be a fraction of a load
 * @param inFlight the number of additional loads that the borrower may run at the same time
 * @param durationMillis the duration of the lease, in milliseconds, which the borrower counts from
 *     its request
 */
public record LoadPermitGrant(
    HostId lender, long serial, double starts, int inFlight, long durationMillis)
    implements PeerMessage {}
