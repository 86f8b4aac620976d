package org.lentilhinge.placement;

import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.HostId;

/**
 * Requests the owner of an engine to make a version resident and to permit a gateway to use it. A
 * gateway has at most one such request for an engine and a version; a later request replaces the
 * urgency and the number of requests of the earlier one.
 *
 * @param gateway the gateway
 * @param version the version
 * @param urgency the greatest urgency of the requests that wait for the version on the gateway
 * @param requests the number of requests that wait for the version on the gateway
 */
public record LoadRequest(HostId gateway, AdapterVersion version, Urgency urgency, int requests) {}
