package org.lentilhinge.runtime.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What this host tells an endpoint about a request.
 *
 * @param endpoint the id of the endpoint that is meant
 * @param deadlineMillis the time that is left, in milliseconds
 * @param urgency the rank in the engine's queue; 0 is the most urgent
 * @param adapterVersion the version of the adapter that is expected
 * @param resumeAfter the id of the last event that the caller has
 */
public record EndpointHead(
    String endpoint,
    long deadlineMillis,
    OptionalInt urgency,
    OptionalLong adapterVersion,
    Optional<String> resumeAfter) {}
