package org.lentilhinge.runtime.forward;

import java.util.List;
import org.lentilhinge.fleet.FleetEndpoint;

/**
 * All endpoints that are registered.
 *
 * @param endpoints the endpoints whose registration can be read
 * @param revision the store's revision of the reading
 */
public record EndpointListing(List<FleetEndpoint> endpoints, long revision) {}
