package org.lentilhinge.forward;

import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;
import org.lentilhinge.fleet.FleetEndpoint;

/** The costs of sending one request to each zone, and the zones that it may be sent to. */
public interface ZoneCosts {

  /**
   * Returns the cost of sending the request to a zone.
   *
   * @param targetZone the zone
   * @return the cost, as a time in milliseconds
   */
  double costMillis(String targetZone);

  /**
   * Returns the endpoints that the request may be sent to. If none of those that are not excluded
   * would be left, all are returned.
   *
   * @param endpoints the endpoints
   * @param excluded the incarnations that are not selected for other reasons
   * @param ready whether an endpoint can serve the request without a load of its adapter
   * @return the endpoints, in the same order
   */
  default Collection<FleetEndpoint> permitted(
      Collection<FleetEndpoint> endpoints, Set<String> excluded, Predicate<FleetEndpoint> ready) {
    return endpoints;
  }
}
