package org.lentilhinge.booking;

import org.lentilhinge.identity.HostIncarnation;

/**
 * The delegation of the right to run the calls of one issuer's tickets.
 *
 * @param issuer the incarnation that issued the tickets
 * @param issuerClockMillis the time on the issuer's monotonic clock when the right was handed over,
 *     in milliseconds
 */
public record TicketDelegation(HostIncarnation issuer, long issuerClockMillis) {}
