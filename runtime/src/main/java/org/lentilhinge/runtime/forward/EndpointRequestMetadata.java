package org.lentilhinge.runtime.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.lentilhinge.customer.CallerIdentity;

/**
 * The metadata that this host adds to a request for an endpoint.
 *
 * @param endpointId the id of the intended endpoint
 * @param remainingMillis the time until the caller's deadline, in milliseconds
 * @param urgency the rank in the engine's queue; 0 is the most urgent
 * @param adapterVersion the expected version of the adapter
 * @param resumeAfter the id of the last event that the caller has received
 * @param identity who sends the request
 */
public record EndpointRequestMetadata(
    String endpointId,
    long remainingMillis,
    OptionalInt urgency,
    OptionalLong adapterVersion,
    Optional<String> resumeAfter,
    CallerIdentity identity) {}
