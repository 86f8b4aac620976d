package org.lentilhinge.follow;

import java.util.Optional;
import org.lentilhinge.message.PeerMessage;

/**
 * A response to a request for one part.
 *
 * @param digest the part's digest
 * @param text the part's text, or empty if the sender does not have the part
 */
public record PartResponse(PartDigest digest, Optional<String> text) implements PeerMessage {}
