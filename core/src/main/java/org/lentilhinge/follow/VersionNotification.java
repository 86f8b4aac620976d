package org.lentilhinge.follow;

import org.lentilhinge.message.PeerMessage;

/**
 * A notification to a peer about the sender's applied version.
 *
 * @param version the applied version
 */
public record VersionNotification(PublishedVersion version) implements PeerMessage {}
