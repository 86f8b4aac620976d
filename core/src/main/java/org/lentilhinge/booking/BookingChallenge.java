package org.lentilhinge.booking;

import org.lentilhinge.identity.RequestId;
import org.lentilhinge.message.PeerMessage;

/**
 * Requests that the gateway forward a call again if its caller is still waiting. It is sent because
 * an earlier request with the same key was answered with {@link BookingState#NOT_RUN}.
 *
 * @param request the request that the gateway forwarded
 * @param refusalCount the refusal count that the new forward must carry
 */
public record BookingChallenge(RequestId request, int refusalCount) implements PeerMessage {}
