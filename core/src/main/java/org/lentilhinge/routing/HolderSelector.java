package org.lentilhinge.routing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Selects among the engines on which an adapter is resident, by costs in the unit of an engine's
 * utilization: 1 is the number of requests that fills its batch.
 */
final class HolderSelector {

  private static final double OTHER_ZONE_COST = 0.05;
  private static final double OTHER_REGION_COST = 0.50;
  private static final double NOT_IN_USE_COST = 2.0;
  private static final double FULL_COST = 4.0;
  private static final double PREFIX_GAIN = 0.10;

  Optional<EngineView> selectResident(
      RoutingRequest request,
      List<EngineView> holders,
      FleetView fleet,
      Predicate<EngineView> inUse) {
    EngineView best = null;
    double lowestCost = Double.MAX_VALUE;
    for (EngineView view : holders) {
      if (view.resident().contains(request.classified().version())) {
        double cost = cost(view, request, fleet) + (inUse.test(view) ? 0 : NOT_IN_USE_COST);
        if (cost < lowestCost) {
          best = view;
          lowestCost = cost;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  RoutingReason reason(EngineView holder, RoutingRequest request, FleetView fleet) {
    if (!holder.region().equals(fleet.localRegion())) {
      return RoutingReason.FAR_HOLDER;
    }
    return hasPrefix(holder, request.promptPrefix())
        ? RoutingReason.RESIDENT_PREFIX
        : RoutingReason.RESIDENT;
  }

  private static double cost(EngineView view, RoutingRequest request, FleetView fleet) {
    double cost = (double) view.outstandingRequests() / view.engine().batchSlots();
    if (view.freeBatchSlots() <= 0) {
      cost += FULL_COST;
    }
    if (!view.region().equals(fleet.localRegion())) {
      cost += OTHER_REGION_COST;
    } else if (!view.engine().zone().equals(fleet.localZone())) {
      cost += OTHER_ZONE_COST;
    }
    return hasPrefix(view, request.promptPrefix()) ? cost - PREFIX_GAIN : cost;
  }

  private static boolean hasPrefix(EngineView view, OptionalLong prefix) {
    return prefix.isPresent() && view.hasPrefix(prefix.getAsLong());
  }
}
