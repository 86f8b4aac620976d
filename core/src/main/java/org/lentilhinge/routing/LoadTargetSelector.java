package org.lentilhinge.routing;

import java.util.List;
import org.lentilhinge.configuration.Policy;

/**
 * Selects the engine that loads an adapter that is not resident on any engine. It prefers engines
 * on which the load can start soon, that are in the region of the store, and that have free batch
 * slots. Ties are broken by rendezvous hashing, so that all gateways select the same engine.
 */
final class LoadTargetSelector {

  private static final double FULL_PENALTY_MILLIS = 1_000;
  private static final long IGNORED_WAIT_MILLIS = 50;
  private static final double MAXIMUM_STALL_PER_TRANSFER_TIME = 0.25;
  private static final double MAXIMUM_RELATIVE_LOAD = 1.25;

  private final LinkCosts linkCosts;
  private final double stallPerTransferTime;

  LoadTargetSelector(Policy policy, LinkCosts linkCosts) {
    this.linkCosts = linkCosts;
    double batchFraction = policy.batchWeight() / (policy.batchWeight() + policy.stallWeight());
    this.stallPerTransferTime = MAXIMUM_STALL_PER_TRANSFER_TIME * batchFraction;
  }

  /** Returns the candidate with the lowest cost. At least one candidate is required. */
  EngineView select(ClassifiedRequest request, List<EngineView> candidates) {
    double meanRequests =
        candidates.stream().mapToInt(EngineView::outstandingRequests).average().orElse(0);
    EngineView best = null;
    double lowestCost = Double.MAX_VALUE;
    for (EngineView view : candidates) {
      double cost = cost(view, request.adapterBytes(), meanRequests);
      if (best == null
          || cost < lowestCost
          || cost == lowestCost && isBefore(view, best, request)) {
        best = view;
        lowestCost = cost;
      }
    }
    return best;
  }

  private double cost(EngineView view, long adapterBytes, double meanRequests) {
    double cost = view.loadWaitMillis() > IGNORED_WAIT_MILLIS ? view.loadWaitMillis() : 0;
    if (crossesLink(view)) {
      cost += linkCosts.transferMillis(adapterBytes) * stallPerTransferTime;
    }
    if (view.freeBatchSlots() <= 0
        || view.outstandingRequests() > MAXIMUM_RELATIVE_LOAD * meanRequests + 1) {
      cost += FULL_PENALTY_MILLIS * (1 + Math.max(0, -view.freeBatchSlots()));
    }
    return cost;
  }

  private boolean crossesLink(EngineView view) {
    return linkCosts.storeRegion().isPresent()
        && !view.region().equals(linkCosts.storeRegion().get());
  }

  private static boolean isBefore(EngineView view, EngineView other, ClassifiedRequest request) {
    return RendezvousOrder.weight(request.version().adapter(), view)
        > RendezvousOrder.weight(request.version().adapter(), other);
  }
}
