package org.lentilhinge.published;

import java.util.List;
import org.lentilhinge.fleet.FleetEndpoint;

/**
 * A listing of all registered endpoints.
 *
 * @param endpoints the endpoints whose registration is well-formed
 * @param revision the store's revision at the time of the listing
 */
public record EndpointListing(List<FleetEndpoint> endpoints, long revision) {}
