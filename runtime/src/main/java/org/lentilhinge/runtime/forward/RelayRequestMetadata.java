package org.lentilhinge.runtime.forward;

import java.util.Optional;

/**
 * The metadata that this host adds to a request that another host serves for it.
 *
 * @param remainingMillis the time until the caller's deadline, in milliseconds
 * @param resumeAfter the id of the last event that the caller has received
 * @param resumedRequestId the id of the request that received the first event of a stream that is
 *     resumed
 */
public record RelayRequestMetadata(
    long remainingMillis, Optional<String> resumeAfter, Optional<String> resumedRequestId) {}
