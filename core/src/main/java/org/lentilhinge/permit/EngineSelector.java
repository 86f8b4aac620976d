package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.lentilhinge.demand.AdapterLoad;
import org.lentilhinge.demand.FleetDemand;
import org.lentilhinge.demand.PreferredEngines;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ZoneCosts;

/**
 * Selects the engine that is expected to send the first event of a request soonest, by the statuses
 * that the owners of all engines sent. Each adapter has a preferred and a secondary engine among
 * the engines of all regions, the same for all hosts, because loading an adapter on one more engine
 * costs more than the distance to another region.
 */
public final class EngineSelector {

  /** The age above which an engine status is ignored, in milliseconds. */
  private static final long MAXIMUM_STATUS_AGE_MILLIS = 2_500;

  /**
   * The cost of a load on the preferred engine, in milliseconds. It probably had the adapter loaded
   * recently.
   */
  private static final double PREFERRED_LOAD_MILLIS = 100;

  /**
   * The cost of a load on the secondary engine, in milliseconds. It serves the requests that the
   * preferred engine cannot.
   */
  private static final double SECONDARY_LOAD_MILLIS = 400;

  /** The cost of a load on any other engine, in milliseconds. */
  private static final double OTHER_LOAD_MILLIS = 800;

  /**
   * The cost of a load on one of several preferred engines, in milliseconds: the time of a load.
   * These engines load the adapter ahead of its requests.
   */
  private static final double SPREAD_LOAD_MILLIS = 250;

  /**
   * The difference of costs up to which engines count as equal, in milliseconds. Statuses are as
   * old as the time in which an engine receives a few requests; hosts that all chose the engine
   * with the lowest cost would overload it.
   */
  private static final double EQUAL_COST_MILLIS = 60;

  /** The added cost of an absent adapter if no order can be sent to the engine, in milliseconds. */
  private static final double NO_OWNER_MILLIS = 800;

  /** The added cost of an absent adapter per adapter that waits for a slot, in milliseconds. */
  private static final double WAITING_ADAPTER_MILLIS = 150;

  /** The added cost of an absent adapter if no slot is available, in milliseconds. */
  private static final double NO_AVAILABLE_SLOT_MILLIS = 300;

  private final Map<String, ReceivedStatus> statuses = new HashMap<>();
  private final Map<String, UnreportedRequests> unreported = new HashMap<>();
  private final OwnershipClaims claims = new OwnershipClaims();
  private final FleetDemand demand = new FleetDemand();

  /** Creates a selector without engine statuses. */
  public EngineSelector() {}

  private record ReceivedStatus(String host, EngineStatus status, long receivedAtMillis) {}

  /** This host's permit requests to an engine that its latest status does not include yet. */
  private static final class UnreportedRequests {
    private double prefillMillis;
    private final Set<String> adapters = new HashSet<>();
  }

  /**
   * Records an engine status. The status of a host that does not own the engine replaces that of
   * another host only if the latter is too old.
   *
   * @param host the host that sent the status
   * @param status the engine status
   * @param nowMillis the current time, in milliseconds
   */
  public void updateStatus(String host, EngineStatus status, long nowMillis) {
    claims.recordStatus(host, status, nowMillis);
    ReceivedStatus former = statuses.get(status.incarnation());
    boolean authoritative = former == null || former.host().equals(host) || status.owned();
    if (authoritative || nowMillis - former.receivedAtMillis() > MAXIMUM_STATUS_AGE_MILLIS) {
      statuses.put(status.incarnation(), new ReceivedStatus(host, status, nowMillis));
      unreported.remove(status.incarnation());
      demand.update(status.incarnation(), status.loads(), nowMillis);
    }
  }

  /**
   * Returns the demand for adapters, as of the recorded statuses.
   *
   * @return the demand over all engines
   */
  public FleetDemand demand() {
    return demand;
  }

  /**
   * Returns the claims of the ownership of engines, as of the recorded statuses.
   *
   * @return the claims of all hosts
   */
  public OwnershipClaims claims() {
    return claims;
  }

  /**
   * Counts a permit request of this host until the next engine status includes it.
   *
   * @param incarnation the engine's incarnation
   * @param adapter the adapter's name, or an empty string for the base model
   * @param promptTokens the number of prompt tokens
   */
  public void recordRequest(String incarnation, String adapter, int promptTokens) {
    UnreportedRequests pending =
        unreported.computeIfAbsent(incarnation, unused -> new UnreportedRequests());
    pending.prefillMillis += promptTokens / SchedulerSettings.INITIAL_TOKENS_PER_MILLISECOND;
    pending.adapters.add(adapter);
  }

  /**
   * Removes the engine statuses that a host sent.
   *
   * @param host the host that failed or left
   */
  public void removeHost(String host) {
    statuses
        .values()
        .removeIf(
            entry -> {
              boolean removed = entry.host().equals(host);
              if (removed) {
                demand.remove(entry.status().incarnation());
              }
              return removed;
            });
  }

  /**
   * Removes an engine.
   *
   * @param incarnation the incarnation that has ended
   */
  public void removeEngine(String incarnation) {
    statuses.remove(incarnation);
    unreported.remove(incarnation);
    claims.removeEngine(incarnation);
    demand.remove(incarnation);
  }

  /**
   * Returns the host that runs the scheduler of an engine.
   *
   * @param incarnation the engine's incarnation
   * @param nowMillis the current time, in milliseconds
   * @return the sender of the latest engine status, or empty if there is none or it is too old
   */
  public Optional<String> schedulingHost(String incarnation, long nowMillis) {
    return currentStatus(incarnation, nowMillis).map(ReceivedStatus::host);
  }

  /**
   * Returns whether another host claims the ownership of an engine.
   *
   * @param incarnation the incarnation of the engine
   * @param self the name of this host
   * @param nowMillis the current time, in milliseconds
   * @return whether another host sent a status, not too old, that reports the ownership
   */
  public boolean isOwnedElsewhere(String incarnation, String self, long nowMillis) {
    return currentStatus(incarnation, nowMillis)
        .filter(entry -> entry.status().owned() && !entry.host().equals(self))
        .isPresent();
  }

  /**
   * Returns the latest status of an engine.
   *
   * @param incarnation the engine's incarnation
   * @param maximumAgeMillis the age above which a status is ignored, in milliseconds
   * @param nowMillis the current time, in milliseconds
   * @return the status, or empty if there is none or it is too old
   */
  public Optional<EngineStatus> status(String incarnation, long maximumAgeMillis, long nowMillis) {
    return Optional.ofNullable(statuses.get(incarnation))
        .filter(entry -> nowMillis - entry.receivedAtMillis() <= maximumAgeMillis)
        .map(ReceivedStatus::status);
  }

  private Optional<ReceivedStatus> currentStatus(String incarnation, long nowMillis) {
    return Optional.ofNullable(statuses.get(incarnation))
        .filter(entry -> nowMillis - entry.receivedAtMillis() <= MAXIMUM_STATUS_AGE_MILLIS);
  }

  /**
   * Selects an engine.
   *
   * @param engines the engines that may be used
   * @param excluded the incarnations that refused the request
   * @param adapter the adapter's name, or an empty string for the base model
   * @param zones the costs of the zones, and those that the request may be sent to
   * @param failureCost the cost of the recent failures of an engine, in milliseconds
   * @param choice a number that differs from request to request
   * @param nowMillis the current time, in milliseconds
   * @return an engine with the lowest cost, or empty if all engines are excluded
   */
  public Optional<FleetEndpoint> select(
      Collection<FleetEndpoint> engines,
      Set<String> excluded,
      String adapter,
      ZoneCosts zones,
      ToDoubleFunction<FleetEndpoint> failureCost,
      long choice,
      long nowMillis) {
    int count = engineCount(engines, adapter, nowMillis);
    List<String> preferred = PreferredEngines.first(engines, adapter, count);
    double toleranceMillis = count > FleetDemand.MINIMUM_ENGINES ? EQUAL_COST_MILLIS : 0;
    List<FleetEndpoint> candidates = new ArrayList<>();
    double[] costs = new double[engines.size()];
    double lowest = Double.POSITIVE_INFINITY;
    for (FleetEndpoint engine :
        zones.permitted(engines, excluded, engine -> isLoaded(engine, adapter, nowMillis))) {
      if (!excluded.contains(engine.incarnation())) {
        double cost =
            failureCost.applyAsDouble(engine)
                + costMillis(engine, adapter, preferred, zones, nowMillis);
        costs[candidates.size()] = cost;
        candidates.add(engine);
        lowest = Math.min(lowest, cost);
      }
    }
    List<FleetEndpoint> best = new ArrayList<>();
    for (int index = 0; index < candidates.size(); index++) {
      if (costs[index] <= lowest + toleranceMillis) {
        best.add(candidates.get(index));
      }
    }
    if (best.isEmpty()) {
      return Optional.empty();
    }
    // Without a tolerance the first of several equal engines is selected.
    int index = toleranceMillis == 0 ? 0 : (int) Long.remainderUnsigned(choice, best.size());
    return Optional.of(best.get(index));
  }

  /** Returns the number of preferred engines of an adapter; all engines are of one service. */
  private int engineCount(Collection<FleetEndpoint> engines, String adapter, long nowMillis) {
    return engines.stream()
        .findFirst()
        .map(engine -> AdapterLoad.qualify(engine.service(), adapter))
        .map(name -> demand.engines(name, nowMillis))
        .orElse(FleetDemand.MINIMUM_ENGINES);
  }

  private static double loadCostMillis(int preference, int preferredCount) {
    if (preferredCount > FleetDemand.MINIMUM_ENGINES) {
      return preference < 0 ? OTHER_LOAD_MILLIS : SPREAD_LOAD_MILLIS;
    }
    return switch (preference) {
      case 0 -> PREFERRED_LOAD_MILLIS;
      case 1 -> SECONDARY_LOAD_MILLIS;
      default -> OTHER_LOAD_MILLIS;
    };
  }

  private boolean isLoaded(FleetEndpoint engine, String adapter, long nowMillis) {
    UnreportedRequests pending = unreported.get(engine.incarnation());
    return adapter.isEmpty()
        || (pending != null && pending.adapters.contains(adapter))
        || status(engine.incarnation(), MAXIMUM_STATUS_AGE_MILLIS, nowMillis)
            .filter(current -> current.adapters().contains(adapter))
            .isPresent();
  }

  private double costMillis(
      FleetEndpoint engine,
      String adapter,
      List<String> preferred,
      ZoneCosts zones,
      long nowMillis) {
    double cost = zones.costMillis(engine.zone());
    Optional<EngineStatus> status =
        currentStatus(engine.incarnation(), nowMillis).map(ReceivedStatus::status);
    UnreportedRequests pending = unreported.get(engine.incarnation());
    boolean loaded = isLoaded(engine, adapter, nowMillis);
    cost += pending == null ? 0 : pending.prefillMillis;
    if (!loaded) {
      cost += loadCostMillis(preferred.indexOf(engine.incarnation()), preferred.size());
    }
    if (status.isPresent()) {
      cost += status.get().backlogMillis();
      if (!loaded) {
        cost += status.get().waitingAdapters() * WAITING_ADAPTER_MILLIS;
        cost += status.get().availableSlots() == 0 ? NO_AVAILABLE_SLOT_MILLIS : 0;
        cost += status.get().owned() ? 0 : NO_OWNER_MILLIS;
      }
    }
    return cost;
  }
}
