package org.lentilhinge.runtime.gateway;

import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.EndpointId;

/**
 * An endpoint assigned to an attempt.
 *
 * @param attempt the attempt
 * @param endpoint the endpoint
 * @param address its IP address and port, separated by a colon
 * @param adapter the adapter version, which is resident and protected from eviction until the
 *     attempt has ended
 * @param reason why this endpoint was chosen
 * @param waitMillis the time that the request waited for the assignment, in milliseconds
 */
public record Assignment(
    AttemptId attempt,
    EndpointId endpoint,
    String address,
    AdapterVersion adapter,
    String reason,
    long waitMillis) {}
