package org.lentilhinge.published;

import java.util.List;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.identity.StoreRevision;

/**
 * A listing of all registered endpoints.
 *
 * @param endpoints the endpoints whose registration is well-formed
 * @param revision the state of the store at the time of the listing
 */
public record EndpointListing(List<FleetEndpoint> endpoints, StoreRevision revision) {}
