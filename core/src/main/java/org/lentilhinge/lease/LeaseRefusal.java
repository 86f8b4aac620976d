package org.lentilhinge.lease;

import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;

/**
 * A refusal of a lease because the grantor has voted for another host.
 *
 * @param endpoint the endpoint
 * @param holder the host that the grantor has voted for
 */
public record LeaseRefusal(EndpointId endpoint, HostId holder) {}
