package org.lentilhinge.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Routes each request to the least loaded engine, regardless of the adapters that are resident
 * there, and loads the adapter on every miss.
 */
public final class LeastLoadedRouting implements RoutingStrategy {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final RandomGenerator random;

  /**
   * Creates the strategy.
   *
   * @param random breaks ties between equally loaded engines
   */
  public LeastLoadedRouting(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public RoutingDecision route(RoutingRequest request, FleetView fleet, long nowMillis) {
    List<EngineView> candidates = Candidates.of(request, fleet.engines(), nowMillis);
    if (candidates.isEmpty()) {
      return new RoutingDecision.Refuse(RETRY_AFTER_MILLIS, RoutingReason.NO_ENDPOINT);
    }
    EngineView chosen = leastLoaded(candidates);
    if (chosen.resident().contains(request.classified().version())) {
      return new RoutingDecision.UseResident(chosen.engine().id(), RoutingReason.LEAST_LOADED);
    }
    return new RoutingDecision.RequestLoad(chosen.engine().id(), RoutingReason.LEAST_LOADED);
  }

  private EngineView leastLoaded(List<EngineView> candidates) {
    double lowestLoad = Double.MAX_VALUE;
    List<EngineView> equallyLoaded = new ArrayList<>();
    for (EngineView view : candidates) {
      double load =
          (double) (view.outstandingRequests() + view.awaitingLoad()) / view.engine().batchSlots();
      if (load < lowestLoad) {
        lowestLoad = load;
        equallyLoaded.clear();
      }
      if (load == lowestLoad) {
        equallyLoaded.add(view);
      }
    }
    return equallyLoaded.get(random.nextInt(equallyLoaded.size()));
  }
}
