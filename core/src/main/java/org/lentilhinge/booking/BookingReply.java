package org.lentilhinge.booking;

import org.lentilhinge.identity.RequestId;
import org.lentilhinge.message.PeerMessage;

/**
 * Reports the outcome of a booking to the gateway.
 *
 * @param request the request that the gateway forwarded
 * @param outcome the outcome
 * @param refusalCount the number of refusals of the key so far, including this reply
 */
public record BookingReply(RequestId request, BookingOutcome outcome, int refusalCount)
    implements PeerMessage {}
