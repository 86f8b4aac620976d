package org.lentilhinge.grant;

import org.lentilhinge.identity.AdapterVersion;

/**
 * A demand for a grant of one version, with the number of requests for it.
 *
 * @param version the version
 * @param requests the number of requests that the gateway has started on the version since its last
 *     demand, plus those that wait for the grant
 */
public record GrantDemand(AdapterVersion version, int requests) {}
