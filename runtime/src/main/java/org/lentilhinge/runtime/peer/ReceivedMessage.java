package org.lentilhinge.runtime.peer;

import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * A message with its sender, as authenticated by the handshake of the link.
 *
 * @param sender the incarnation of the host that sent the message
 * @param message the message
 */
public record ReceivedMessage(HostIncarnation sender, PeerMessage message) {}
