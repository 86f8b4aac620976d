package org.lentilhinge.overlay;

import org.lentilhinge.message.PeerMessage;

/**
 * Requests a {@link HostHeartbeat} at once.
 *
 * @param sender the sender's record
 */
public record HostProbe(HostRecord sender) implements PeerMessage {}
