package org.lentilhinge.routing;

import java.util.Optional;
import org.lentilhinge.placement.DemandHint;

/** Selects the endpoint for a request. Implementations must not retain the fleet view. */
public interface RoutingStrategy {

  /**
   * Routes a request.
   *
   * @param request the request
   * @param fleet the gateway's view of the engines
   * @param nowMillis the monotonic time, in milliseconds
   * @return the decision
   */
  RoutingDecision route(RoutingRequest request, FleetView fleet, long nowMillis);

  /**
   * Suggests an engine that should also load the version, although the request runs elsewhere. The
   * host sends the hint to the engine's owner; the hint is not urgent.
   *
   * @param request the request
   * @param decision the decision that was made for it
   * @param fleet the gateway's view of the engines
   * @param nowMillis the monotonic time, in milliseconds
   * @return the hint, or empty if there is no such engine
   */
  default Optional<DemandHint> replicaHint(
      RoutingRequest request, RoutingDecision decision, FleetView fleet, long nowMillis) {
    return Optional.empty();
  }
}
