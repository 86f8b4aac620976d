package org.lentilhinge.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Policy;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.placement.DemandHint;

/**
 * Routes requests to engines on which their adapter is resident, as long as these engines have
 * capacity, and selects the engine that loads an adapter that is not resident on any engine. A
 * request whose load could not start in time is refused at once.
 *
 * <p>If the policy weighs batch efficiency higher than load stalls, an instance keeps the set of
 * engines in use between calls, see {@link PackedEngines}. A host creates a new instance for each
 * configuration.
 */
public final class AffinityRouting implements RoutingStrategy {

  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final double LOAD_WAIT_FRACTION_OF_QUEUE_WAIT = 0.2;
  private static final double MINIMUM_LOAD_WAIT_FACTOR = 0.4;
  private static final double SPILL_QUEUE_FRACTION = 0.25;
  private static final long MAXIMUM_SPILL_LOAD_WAIT_MILLIS = 250;

  private final Policy policy;
  private final LoadTargetSelector targetSelector;
  private final HolderSelector holderSelector;
  private final Optional<PackedEngines> packedEngines;

  /**
   * Creates the strategy.
   *
   * @param configuration the applied configuration, whose policy is used
   * @param linkCosts the costs of the link between regions
   */
  public AffinityRouting(Configuration configuration, LinkCosts linkCosts) {
    this.policy = configuration.policy();
    this.packedEngines =
        policy.batchWeight() > policy.stallWeight()
            ? Optional.of(new PackedEngines(linkCosts.storeRegion()))
            : Optional.empty();
    this.targetSelector = new LoadTargetSelector(policy, linkCosts);
    this.holderSelector = new HolderSelector();
  }

  @Override
  public RoutingDecision route(RoutingRequest request, FleetView fleet, long nowMillis) {
    packedEngines.ifPresent(engines -> engines.update(fleet, nowMillis));
    AdapterVersion version = request.classified().version();
    List<EngineView> holders = Candidates.of(request, fleet.holders(version), nowMillis);
    Optional<EngineView> resident =
        holderSelector.selectResident(request, holders, fleet, this::isInUse);
    if (resident.isPresent() && resident.get().freeBatchSlots() > 0) {
      return useOrConsolidate(resident.get(), request, fleet, nowMillis);
    }
    Optional<EngineView> loading =
        holders.stream().filter(view -> view.freeBatchSlots() > 0).findFirst();
    if (loading.isPresent()) {
      return requestLoad(loading.get(), RoutingReason.JOIN_LOAD);
    }
    List<EngineView> candidates = Candidates.of(request, fleet.engines(), nowMillis);
    candidates.removeAll(holders);
    if (!holders.isEmpty()) {
      return spillOrQueue(resident.orElse(holders.get(0)), request, candidates);
    }
    if (candidates.isEmpty()) {
      return new RoutingDecision.Refuse(RETRY_AFTER_MILLIS, RoutingReason.NO_ENDPOINT);
    }
    return loadOrRefuse(request, candidates);
  }

  @Override
  public Optional<DemandHint> replicaHint(
      RoutingRequest request, RoutingDecision decision, FleetView fleet, long nowMillis) {
    if (!(decision instanceof RoutingDecision.UseResident use)) {
      return Optional.empty();
    }
    List<EngineView> others = Candidates.of(request, fleet.engines(), nowMillis);
    others.removeAll(fleet.holders(request.classified().version()));
    others.removeIf(view -> !isInUse(view));
    if (use.reason() == RoutingReason.FAR_HOLDER) {
      others.removeIf(view -> !view.region().equals(fleet.localRegion()));
    } else if (use.reason() != RoutingReason.QUEUE_AT_HOLDER) {
      return Optional.empty();
    }
    return RendezvousOrder.sort(request.classified().version().adapter(), others).stream()
        .findFirst()
        .map(view -> new DemandHint(view.engine().id(), request.classified().version(), 1));
  }

  /**
   * Routes the request to a holder with free batch slots. If that holder is not among the engines
   * in use, the adapter is loaded on an engine in use instead, provided that such an engine has
   * free batch slots and its load need not wait for the store. The holder can then become idle.
   */
  private RoutingDecision useOrConsolidate(
      EngineView holder, RoutingRequest request, FleetView fleet, long nowMillis) {
    if (!isInUse(holder)) {
      List<EngineView> enginesInUse = Candidates.of(request, fleet.engines(), nowMillis);
      enginesInUse.removeIf(
          view -> !isInUse(view) || view.freeBatchSlots() <= 0 || view.loadWaitMillis() > 0);
      if (!enginesInUse.isEmpty()) {
        return requestLoad(
            targetSelector.select(request.classified(), enginesInUse), RoutingReason.CONSOLIDATE);
      }
    }
    return new RoutingDecision.UseResident(
        holder.engine().id(), holderSelector.reason(holder, request, fleet));
  }

  /** Routes a request whose adapter is resident or loading only on full engines. */
  private RoutingDecision spillOrQueue(
      EngineView holder, RoutingRequest request, List<EngineView> others) {
    int queuedRequests = -holder.freeBatchSlots();
    List<EngineView> free = new ArrayList<>(others);
    free.removeIf(
        view ->
            view.freeBatchSlots() <= 0 || view.loadWaitMillis() > MAXIMUM_SPILL_LOAD_WAIT_MILLIS);
    if (!free.isEmpty() && queuedRequests >= SPILL_QUEUE_FRACTION * holder.engine().batchSlots()) {
      return requestLoad(targetSelector.select(request.classified(), free), RoutingReason.SPILL);
    }
    if (queuedRequests < holder.engine().batchSlots()) {
      return new RoutingDecision.UseResident(holder.engine().id(), RoutingReason.QUEUE_AT_HOLDER);
    }
    return new RoutingDecision.Refuse(RETRY_AFTER_MILLIS, RoutingReason.NO_CAPACITY);
  }

  private RoutingDecision loadOrRefuse(RoutingRequest request, List<EngineView> candidates) {
    List<EngineView> enginesInUse = candidates.stream().filter(this::isInUse).toList();
    EngineView target =
        targetSelector.select(
            request.classified(), enginesInUse.isEmpty() ? candidates : enginesInUse);
    long waitMillis = target.loadWaitMillis();
    if (waitMillis > maximumLoadWaitMillis(request.classified().urgency())) {
      return new RoutingDecision.Refuse(
          Math.max(RETRY_AFTER_MILLIS, waitMillis), RoutingReason.STORE_BUSY);
    }
    return requestLoad(target, RoutingReason.MISS);
  }

  private boolean isInUse(EngineView view) {
    return packedEngines.isEmpty() || packedEngines.get().contains(view);
  }

  private double maximumLoadWaitMillis(Urgency urgency) {
    double factor =
        switch (urgency) {
          case URGENT -> 2.0;
          case NORMAL -> 1.0;
          case BACKGROUND -> 0.5;
        };
    double batchFraction = policy.batchWeight() / (policy.batchWeight() + policy.stallWeight());
    return policy.maximumQueueMillis()
        * LOAD_WAIT_FRACTION_OF_QUEUE_WAIT
        * Math.max(MINIMUM_LOAD_WAIT_FACTOR, batchFraction)
        * factor;
  }

  private static RoutingDecision requestLoad(EngineView view, RoutingReason reason) {
    return new RoutingDecision.RequestLoad(view.engine().id(), reason);
  }
}
