package org.lentilhinge.store;

import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;

/**
 * A message with its recipient, a host of the zone.
 *
 * @param recipient the host that receives the message
 * @param message the message
 */
public record AddressedMessage(HostId recipient, PeerMessage message) {}
