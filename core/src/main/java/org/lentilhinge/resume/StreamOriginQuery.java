package org.lentilhinge.resume;

import org.lentilhinge.message.PeerMessage;

/**
 * Asks which software version began a stream.
 *
 * @param queryId the id of the query, unique within the incarnation of the asking host
 * @param requestId the id of the request that received the first event
 * @param service the service
 * @param maximumAgeMillis the time within which the stream began, in milliseconds
 */
public record StreamOriginQuery(
    long queryId, String requestId, String service, long maximumAgeMillis) implements PeerMessage {}
