package org.lentilhinge.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.RegionId;

/**
 * Concentrates requests on the smallest number of engines that can serve them, so that the batches
 * of these engines are full and the other engines are idle. All gateways add engines in the same
 * order. An engine is released only after the load has been low for some time.
 */
final class PackedEngines {

  private static final long UPDATE_INTERVAL_MILLIS = 100;
  private static final long RELEASE_DELAY_MILLIS = 15_000;
  private static final double MAXIMUM_UTILIZATION = 0.92;
  private static final double RELEASE_UTILIZATION = 0.78;

  /** Tracks how many engines of one base model are in use. */
  private static final class Pool {
    private int engineCount = 1;
    private long lowSinceMillis = Long.MAX_VALUE;
  }

  private final Optional<RegionId> preferredRegion;
  private final Map<BaseModelId, Pool> pools = new HashMap<>();
  private final Set<EndpointId> inUse = new HashSet<>();
  private long nextUpdateMillis = Long.MIN_VALUE;

  PackedEngines(Optional<RegionId> preferredRegion) {
    this.preferredRegion = preferredRegion;
  }

  boolean contains(EngineView view) {
    return inUse.contains(view.engine().id());
  }

  void update(FleetView fleet, long nowMillis) {
    if (nowMillis < nextUpdateMillis) {
      return;
    }
    nextUpdateMillis = nowMillis + UPDATE_INTERVAL_MILLIS;
    inUse.clear();
    Map<BaseModelId, List<EngineView>> byModel = new HashMap<>();
    for (EngineView view : fleet.engines()) {
      if (view.isUsable(nowMillis)) {
        byModel.computeIfAbsent(view.engine().baseModel(), model -> new ArrayList<>()).add(view);
      }
    }
    byModel.forEach((model, engines) -> update(model, engines, nowMillis));
  }

  private void update(BaseModelId model, List<EngineView> engines, long nowMillis) {
    engines.sort(
        Comparator.comparing((EngineView view) -> !isInPreferredRegion(view))
            .thenComparing(view -> view.engine().zone())
            .thenComparing(view -> view.engine().id()));
    Pool pool = pools.computeIfAbsent(model, unused -> new Pool());
    pool.engineCount = Math.max(1, Math.min(pool.engineCount, engines.size()));
    int requests =
        engines.stream().mapToInt(view -> view.outstandingRequests() + view.awaitingLoad()).sum();
    while (pool.engineCount < engines.size()
        && requests > MAXIMUM_UTILIZATION * slots(engines, pool.engineCount)) {
      pool.engineCount++;
      pool.lowSinceMillis = Long.MAX_VALUE;
    }
    boolean low =
        pool.engineCount > 1
            && requests < RELEASE_UTILIZATION * slots(engines, pool.engineCount - 1);
    pool.lowSinceMillis = low ? Math.min(pool.lowSinceMillis, nowMillis) : Long.MAX_VALUE;
    if (low && nowMillis - pool.lowSinceMillis >= RELEASE_DELAY_MILLIS) {
      pool.engineCount--;
      pool.lowSinceMillis = nowMillis;
    }
    engines.subList(0, pool.engineCount).forEach(view -> inUse.add(view.engine().id()));
  }

  private boolean isInPreferredRegion(EngineView view) {
    return preferredRegion.isEmpty() || view.region().equals(preferredRegion.get());
  }

  private static int slots(List<EngineView> engines, int count) {
    int slots = 0;
    for (EngineView view : engines.subList(0, count)) {
      slots += view.engine().batchSlots();
    }
    return slots;
  }
}
