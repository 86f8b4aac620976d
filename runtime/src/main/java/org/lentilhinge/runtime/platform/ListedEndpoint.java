package org.lentilhinge.runtime.platform;

import org.lentilhinge.identity.EndpointId;

/**
 * An endpoint in the list of the platform.
 *
 * @param id the id of the endpoint
 * @param leaving whether it is about to stop
 */
public record ListedEndpoint(EndpointId id, boolean leaving) {}
