package org.lentilhinge.replay;

import java.util.SplittableRandom;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.placement.EvictionStrategy;
import org.lentilhinge.placement.FirstComeFirstServedRanking;
import org.lentilhinge.placement.LeastPopularEviction;
import org.lentilhinge.placement.LeastRecentlyUsedEviction;
import org.lentilhinge.placement.LoadRanking;
import org.lentilhinge.placement.PlacementSettings;
import org.lentilhinge.placement.WaitTimeRanking;
import org.lentilhinge.routing.AffinityRouting;
import org.lentilhinge.routing.HashRouting;
import org.lentilhinge.routing.LeastLoadedRouting;
import org.lentilhinge.routing.RoutingStrategy;

/**
 * The policies under comparison. The baselines use the entire budget of the store through one
 * queue, as if the store itself limited the rate; lentilhinge's hosts use their shares of the
 * budget.
 */
public enum Contender {
  /** Routing to the least loaded endpoint, least recently used eviction, a load on every miss. */
  BASELINE,
  /** Routing by rendezvous hashing only, least recently used eviction, a load on every miss. */
  HASHING,
  /** The routing and placement of lentilhinge. */
  LENTILHINGE;

  private static final PlacementSettings BASELINE_PLACEMENT =
      new PlacementSettings(
          120_000, 2_000, 0, 1, 1, Integer.MAX_VALUE, 60_000, 0, 1, 0, Long.MAX_VALUE);

  boolean usesSingleStoreQueue() {
    return this != LENTILHINGE;
  }

  RoutingStrategy routing(Workload workload, Configuration configuration, long seed) {
    return switch (this) {
      case BASELINE -> new LeastLoadedRouting(new SplittableRandom(seed));
      case HASHING -> new HashRouting();
      case LENTILHINGE -> new AffinityRouting(configuration, ReplayTopology.linkCosts(workload));
    };
  }

  EvictionStrategy eviction() {
    return this == LENTILHINGE
        ? new LeastPopularEviction(PlacementSettings.DEFAULTS.minimumResidencyMillis())
        : new LeastRecentlyUsedEviction();
  }

  LoadRanking loadRanking() {
    return this == LENTILHINGE ? new WaitTimeRanking() : new FirstComeFirstServedRanking();
  }

  PlacementSettings placementSettings(Workload workload, ZoneId zone) {
    if (this != LENTILHINGE) {
      return BASELINE_PLACEMENT;
    }
    boolean crossesLink = ReplayTopology.regionOf(zone).equals(ReplayTopology.FAR);
    PlacementSettings settings = PlacementSettings.forPolicy(workload.policy());
    return crossesLink
        ? settings.withPrefetchMinimumPerSecond(
            ReplayTopology.linkCosts(workload)
                .breakEvenRequestsPerSecond(workload.adapterBytes(), workload.policy()))
        : settings;
  }
}
