package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * The answer to a {@link PermitRequest}.
 *
 * @param permitId the id of the permit request
 * @param granted whether the request may be sent to the engine now
 * @param retryAfterMillis if not granted, the time after which a retry is worthwhile, in
 *     milliseconds
 * @param reason the reason, for the log
 */
public record PermitAnswer(long permitId, boolean granted, long retryAfterMillis, String reason)
    implements PeerMessage {}
