package org.lentilhinge.overlay;

import org.lentilhinge.message.PeerMessage;

/**
 * A heartbeat, or the response to a {@link HostProbe}.
 *
 * @param sender the sender's record
 * @param digest the digest of the sender's live records, equal if two hosts know the same ones
 * @param watched whether the receiver is expected to watch for further heartbeats
 */
public record HostHeartbeat(HostRecord sender, long digest, boolean watched)
    implements PeerMessage {}
