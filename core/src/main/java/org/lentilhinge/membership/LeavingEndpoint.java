package org.lentilhinge.membership;

import org.lentilhinge.identity.EndpointId;

/**
 * The information that an endpoint is leaving.
 *
 * @param endpoint the endpoint
 * @param ageMillis the age of the information in the zone, in milliseconds. Every host discards the
 *     information at the same age, so that hosts cannot prolong it by sending it to each other.
 */
public record LeavingEndpoint(EndpointId endpoint, long ageMillis) {}
