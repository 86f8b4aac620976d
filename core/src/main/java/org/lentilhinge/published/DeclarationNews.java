package org.lentilhinge.published;

import org.lentilhinge.message.PeerMessage;

/**
 * The changes of the declared state between two revisions.
 *
 * @param sinceRevision the revision after which the changes were made; the receiver must know the
 *     state up to it
 * @param changes the changes, with the revision up to which they are complete
 */
public record DeclarationNews(long sinceRevision, DeclaredState changes) implements PeerMessage {}
