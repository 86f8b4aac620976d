package org.lentilhinge.follow;

import org.lentilhinge.message.PeerMessage;

/** A request to a peer for its applied version. */
public record VersionRequest() implements PeerMessage {}
