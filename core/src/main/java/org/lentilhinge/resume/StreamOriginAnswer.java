package org.lentilhinge.resume;

import org.lentilhinge.message.PeerMessage;

/**
 * Answers which software version began a stream.
 *
 * @param queryId the id of the query
 * @param recorded whether the version was recorded; otherwise it is the only one that the answering
 *     host knows since before the stream can have begun
 * @param version the version, or an empty string if it is not known
 */
public record StreamOriginAnswer(long queryId, boolean recorded, String version)
    implements PeerMessage {}
