package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * The answer to a {@link PermitAsk}.
 *
 * @param ask the id of the permit request
 * @param granted whether the request may be sent to the engine now
 * @param retryMillis if not granted, the time after which a retry is worthwhile, in milliseconds
 * @param reason the reason, for the log
 */
public record PermitAnswer(long ask, boolean granted, long retryMillis, String reason)
    implements PeerMessage {}
