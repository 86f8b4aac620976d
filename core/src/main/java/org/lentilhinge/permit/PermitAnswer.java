package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * Answers a {@link PermitAsk}.
 *
 * @param ask the ask's number
 * @param granted whether the request may be sent now
 * @param retryMillis when there will be room if it may not, in milliseconds from now
 * @param reason why, for the logs
 */
public record PermitAnswer(long ask, boolean granted, long retryMillis, String reason)
    implements PeerMessage {}
