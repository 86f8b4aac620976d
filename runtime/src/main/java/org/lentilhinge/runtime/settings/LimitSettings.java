package org.lentilhinge.runtime.settings;

/**
 * The limits on the requests of callers and the frames of peers.
 *
 * @param headerBytes the maximum size of a request's headers, in bytes
 * @param bodyBytes the maximum size of a request's body, in bytes
 * @param concurrentRequests the maximum number of concurrent requests on the host
 * @param idleTimeoutMillis the idle timeout of a caller's connection, in milliseconds
 * @param frameBytes the maximum size of a frame between entry hosts, in bytes
 */
public record LimitSettings(
    int headerBytes,
    int bodyBytes,
    int concurrentRequests,
    long idleTimeoutMillis,
    int frameBytes) {}
