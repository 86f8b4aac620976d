package org.lentilhinge.placement;

import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.message.PeerMessage;

/**
 * Reports to an engine's owner that requests for a version would have run on the engine had the
 * version been resident. No request waits for it; the owner may load the version if its request
 * rate warrants a load.
 *
 * @param endpoint the engine
 * @param version the version
 * @param requests the number of such requests
 */
public record DemandHint(EndpointId endpoint, AdapterVersion version, int requests)
    implements PeerMessage {}
