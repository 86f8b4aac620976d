package org.lentilhinge.grant;

import org.lentilhinge.identity.AdapterVersion;

/**
 * A grant that a gateway has from a former owner.
 *
 * @param version the version
 * @param remainingMillis the remaining time for which the gateway may start requests, in
 *     milliseconds
 * @param inFlight the number of requests in flight
 */
public record HeldGrant(AdapterVersion version, long remainingMillis, int inFlight) {}
