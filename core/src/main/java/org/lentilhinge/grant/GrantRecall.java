package org.lentilhinge.grant;

import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;

/**
 * A request to a gateway to release its grant of a version at once if it is not in use, because the
 * owner needs the slot. A gateway that uses the version does not reply.
 *
 * @param owner the owner
 * @param endpoint the endpoint
 * @param version the version
 */
public record GrantRecall(HostId owner, EndpointId endpoint, AdapterVersion version)
    implements PeerMessage {}
