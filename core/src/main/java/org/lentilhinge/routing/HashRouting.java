package org.lentilhinge.routing;

import java.util.List;

/** Routes the requests of each adapter to the first engine of the adapter's rendezvous order. */
public final class HashRouting implements RoutingStrategy {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  @Override
  public RoutingDecision route(RoutingRequest request, FleetView fleet, long nowMillis) {
    List<EngineView> candidates = Candidates.of(request, fleet.engines(), nowMillis);
    if (candidates.isEmpty()) {
      return new RoutingDecision.Refuse(RETRY_AFTER_MILLIS, RoutingReason.NO_ENDPOINT);
    }
    EngineView first =
        RendezvousOrder.sort(request.classified().version().adapter(), candidates).get(0);
    if (first.resident().contains(request.classified().version())) {
      return new RoutingDecision.UseResident(first.engine().id(), RoutingReason.AFFINITY);
    }
    return new RoutingDecision.RequestLoad(first.engine().id(), RoutingReason.AFFINITY);
  }
}
