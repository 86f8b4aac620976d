package org.lentilhinge.runtime.peer;

import org.lentilhinge.identity.HostIncarnation;

/**
 * Reports that the link on which this host sends to a peer went up or down, or that a message was
 * dropped because it is down.
 *
 * @param peer the incarnation of the peer at the other end; number 0 if it is not known
 * @param up whether the link is up, so that messages can be sent
 * @param failure why the link went down, or {@link LinkFailure#NONE} if it went up
 */
public record LinkChange(HostIncarnation peer, boolean up, LinkFailure failure) {}
