package org.lentilhinge.host;

import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.message.PeerMessage;

/**
 * Requests a complete announcement of an engine from its owner, because the gateway has missed an
 * announcement.
 *
 * @param endpoint the engine
 */
public record AnnouncementRequest(EndpointId endpoint) implements PeerMessage {}
