package org.lentilhinge.store;

import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;

/**
 * A message that ends a lease of in-flight loads before it expires.
 *
 * @param borrower the host that borrowed the loads
 * @param serial the number of the request for which the lease was granted
 */
public record LoadPermitReturn(HostId borrower, long serial) implements PeerMessage {}
