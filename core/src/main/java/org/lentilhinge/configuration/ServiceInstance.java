package org.lentilhinge.configuration;

import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.ZoneId;

/**
 * The declaration of one instance of a plain service.
 *
 * @param id the identifier of the instance's endpoint
 * @param zone the availability zone of the instance
 * @param address the instance's IP address and port, separated by a colon
 */
public record ServiceInstance(EndpointId id, ZoneId zone, String address) {}
