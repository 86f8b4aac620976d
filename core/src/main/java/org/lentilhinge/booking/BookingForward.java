package org.lentilhinge.booking;

import org.lentilhinge.identity.RequestId;
import org.lentilhinge.message.PeerMessage;

/**
 * Requests the outcome of a booking from the owner of its key, which runs the call if it has not
 * run yet.
 *
 * @param request the caller's request at the gateway
 * @param key the key
 * @param call the HTTP request to send to the service
 * @param refusalCount the number of refusals of the key that the caller has received; a forward
 *     whose number differs from the owner's is out of date and does not run the call
 */
public record BookingForward(RequestId request, BookingKey key, BookingCall call, int refusalCount)
    implements PeerMessage {}
