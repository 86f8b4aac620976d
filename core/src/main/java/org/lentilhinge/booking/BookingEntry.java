package org.lentilhinge.booking;

import java.util.Optional;

/**
 * The state of a key at its partition owner, in the form that is handed over.
 *
 * @param key the key
 * @param fingerprint the digest of its call
 * @param state whether the call ran
 * @param reason why the key has this state
 * @param response the service's response, if it was kept
 * @param refusalCount the number of times that the call was refused; a call in the state {@link
 *     BookingState#NOT_RUN} is run only by a forward that carries this number
 * @param ageMillis the time since the key was first received, in milliseconds
 */
public record BookingEntry(
    BookingKey key,
    long fingerprint,
    BookingState state,
    BookingReason reason,
    Optional<BookingResponse> response,
    int refusalCount,
    long ageMillis) {}
