package org.lentilhinge.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;

/**
 * Decides which versions are resident on an engine; the owner's {@link PlacementScheduler} decides
 * when a load may start. All gateways that request a version wait for the same load. A version is
 * unloaded only if {@code mayEvict}, which consults the owner's ledger of grants, allows it at that
 * moment. A version whose loads keep failing is declined for some time; other versions are not.
 */
public final class EndpointPlacement {

  private static final long MINIMUM_RETRY_AFTER_MILLIS = 250;
  private static final int SLOTS_KEPT_FREE = 1;

  private final Engine engine;
  private final PlacementSettings settings;
  private final EvictionStrategy eviction;
  private final LoadRanking ranking;
  private final Predicate<AdapterVersion> mayEvict;
  private final PopularityEstimator popularity;
  private final LoadBackoff backoff;
  private final SlotTable slots;
  private final PrefetchSelector prefetch;
  private final Map<AdapterVersion, PendingLoad> pending = new LinkedHashMap<>();
  private final GrantRecallSelector recall;
  private boolean leaving;
  private long revision;
  private long loadWaitMillis;

  /**
   * Creates the placement of an engine without known versions; {@link #reconcile} adds them.
   *
   * @param engine the engine
   * @param settings the settings
   * @param eviction selects the version to evict
   * @param ranking ranks the pending loads
   * @param mayEvict indicates whether no gateway can be using a version on this engine
   * @param random provides the jitter of the retries of failed loads
   */
  public EndpointPlacement(
      Engine engine,
      PlacementSettings settings,
      EvictionStrategy eviction,
      LoadRanking ranking,
      Predicate<AdapterVersion> mayEvict,
      RandomGenerator random) {
    this.engine = engine;
    this.settings = settings;
    this.eviction = eviction;
    this.ranking = ranking;
    this.mayEvict = mayEvict;
    this.popularity =
        new PopularityEstimator(settings.popularityDecayMillis(), settings.popularityCapacity());
    this.backoff = new LoadBackoff(settings, random);
    this.slots = new SlotTable(engine.adapterSlots());
    this.prefetch = new PrefetchSelector(settings, popularity);
    this.recall = new GrantRecallSelector(eviction);
  }

  /**
   * Returns the engine.
   *
   * @return the endpoint
   */
  public EndpointId endpoint() {
    return engine.id();
  }

  /**
   * Returns the resident versions.
   *
   * @return a copy of the set of versions
   */
  public Set<AdapterVersion> resident() {
    return Set.copyOf(slots.resident());
  }

  /**
   * Returns the versions that are being loaded or wait to be loaded.
   *
   * @return a copy of the set of versions
   */
  public Set<AdapterVersion> loading() {
    return Set.copyOf(pending.keySet());
  }

  /**
   * Returns the revision of the resident and loading versions, which rises with each change.
   *
   * @return the revision
   */
  public long revision() {
    return revision;
  }

  /**
   * Returns the number of requests that wait for a load on this engine.
   *
   * @return the number of requests of all gateways
   */
  public int awaitingLoad() {
    return pending.values().stream().mapToInt(PendingLoad::requests).sum();
  }

  /**
   * Returns how long a further load is expected to wait for the store.
   *
   * @return the wait, in milliseconds, as of the scheduler's last step
   */
  public long loadWaitMillis() {
    return loadWaitMillis;
  }

  void setLoadWaitMillis(long waitMillis) {
    loadWaitMillis = waitMillis;
  }

  int loadsNotStarted() {
    return (int) pending.values().stream().filter(load -> !load.isStarted()).count();
  }

  /**
   * Handles a gateway's request for a version.
   *
   * @param request the request
   * @param nowMillis the monotonic time, in milliseconds
   * @return a permit if the version is resident, a refusal if it will not be loaded, else nothing
   */
  public List<PlacementCommand> request(LoadRequest request, long nowMillis) {
    AdapterVersion version = request.version();
    if (leaving) {
      return List.of(decline(request.gateway(), version, DeclineReason.LEAVING, nowMillis));
    }
    if (slots.isResident(version)) {
      recordUse(version, request.requests(), nowMillis);
      return List.of(new PlacementCommand.Permit(request.gateway(), version));
    }
    if (backoff.isPoisoned(version, nowMillis)) {
      return List.of(decline(request.gateway(), version, DeclineReason.POISONED, nowMillis));
    }
    PendingLoad load = pending.get(version);
    if (load == null) {
      if (!hasSlotForAnotherLoad(nowMillis)) {
        recall.recordDeclinedLoad(nowMillis);
        return List.of(decline(request.gateway(), version, DeclineReason.NO_FREE_SLOT, nowMillis));
      }
      load = new PendingLoad(version, PlacementReason.REQUESTED, nowMillis);
      pending.put(version, load);
      revision++;
    }
    popularity.observe(version, load.add(request, nowMillis), nowMillis);
    return List.of();
  }

  /**
   * Withdraws a gateway's request, for example because its callers have disconnected.
   *
   * @param gateway the gateway
   * @param version the version
   */
  public void withdraw(HostId gateway, AdapterVersion version) {
    PendingLoad load = pending.get(version);
    if (load != null) {
      load.remove(gateway);
    }
  }

  /**
   * Records the use of a version under a grant, which gateways report when they renew the grant.
   *
   * @param version the version
   * @param requests the number of requests since the last report
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void recordUse(AdapterVersion version, int requests, long nowMillis) {
    popularity.observe(version, requests, nowMillis);
    slots.recordUse(version, nowMillis);
  }

  /**
   * Returns the highest-ranked load that could start now, given a permit of the store.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the load, or empty if there is none or no slot can be freed
   */
  public Optional<LoadDemand> demand(long nowMillis) {
    if (leaving) {
      return Optional.empty();
    }
    if (pending.isEmpty()) {
      return prefetchDemand(nowMillis);
    }
    if (!canFreeSlot(nowMillis)) {
      return Optional.empty();
    }
    return pending.values().stream()
        .filter(load -> !load.isStarted() && load.hasWaiters())
        .filter(load -> !slots.isUnloading(load.version()))
        .filter(load -> backoff.pauseMillis(load.version(), nowMillis) == 0)
        .map(load -> load.demand(nowMillis))
        .reduce((left, right) -> ranking.rank(right) > ranking.rank(left) ? right : left);
  }

  /**
   * Selects the version whose grants are recalled if a load needs a slot and none can be freed.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the version, or empty if no slot is needed or one can be freed
   */
  public Optional<AdapterVersion> recallCandidate(long nowMillis) {
    boolean slotNeeded = recall.isNeeded(nowMillis) || !pending.isEmpty();
    if (leaving || !slotNeeded || hasSlotForAnotherLoad(nowMillis)) {
      return Optional.empty();
    }
    return recall.next(slots.candidates(version -> true, popularity, nowMillis), nowMillis);
  }

  /**
   * Starts a load under a permit of the store, which is held until the load has ended.
   *
   * @param demand the load, as returned by {@link #demand}
   * @param nowMillis the monotonic time, in milliseconds
   * @return the order to load the version, or first to unload another version
   */
  public List<PlacementCommand> startLoad(LoadDemand demand, long nowMillis) {
    PendingLoad load =
        pending.computeIfAbsent(
            demand.version(), version -> new PendingLoad(version, demand.reason(), nowMillis));
    revision++;
    boolean slotIsFree = slots.free() > loadsAwaitingSlot();
    load.markStarted();
    return slotIsFree ? List.of(orderLoad(load)) : evict(nowMillis);
  }

  /**
   * Handles the successful end of a load.
   *
   * @param version the version, now resident
   * @param nowMillis the monotonic time, in milliseconds
   * @return a permit for each waiting gateway
   */
  public List<PlacementCommand> onLoaded(AdapterVersion version, long nowMillis) {
    revision++;
    backoff.recordSuccess(version);
    slots.finishLoad(version, nowMillis);
    PendingLoad load = pending.remove(version);
    if (load == null) {
      return List.of();
    }
    List<PlacementCommand> commands = new ArrayList<>();
    load.gateways().forEach(gateway -> commands.add(new PlacementCommand.Permit(gateway, version)));
    return commands;
  }

  /**
   * Handles a failed load. Gateways wait for the retry unless the version has failed too often.
   *
   * @param version the version
   * @param nowMillis the monotonic time, in milliseconds
   * @return refusals if the version is poisoned, and orders for loads that waited for the slot
   */
  public List<PlacementCommand> onLoadFailed(AdapterVersion version, long nowMillis) {
    revision++;
    backoff.recordFailure(version, nowMillis);
    slots.failLoad(version);
    PendingLoad load = pending.get(version);
    if (load == null) {
      return List.of();
    }
    load.markNotStarted();
    List<PlacementCommand> commands = new ArrayList<>(fillFreeSlots());
    if (backoff.isPoisoned(version, nowMillis)) {
      commands.addAll(declineAll(load, DeclineReason.POISONED, nowMillis));
    }
    return commands;
  }

  /**
   * Handles the successful unloading of a version, and reuses its slot.
   *
   * @param version the version
   * @param nowMillis the monotonic time, in milliseconds
   * @return the orders for loads that waited for the slot
   */
  public List<PlacementCommand> onUnloaded(AdapterVersion version, long nowMillis) {
    revision++;
    slots.finishUnload(version);
    return fillFreeSlots();
  }

  /**
   * Handles a failed unload. The version is still resident.
   *
   * @param version the version
   * @param nowMillis the monotonic time, in milliseconds
   * @return the order to unload another version if a load waits for a slot
   */
  public List<PlacementCommand> onUnloadFailed(AdapterVersion version, long nowMillis) {
    revision++;
    slots.failUnload(version);
    slots.recordUse(version, nowMillis);
    return loadsAwaitingSlot() > slots.unloadingCount() ? evict(nowMillis) : List.of();
  }

  /**
   * Reconciles the slots with the engine's own list of resident versions.
   *
   * @param resident the versions
   * @param takenAtMillis a monotonic time before the list was taken, in milliseconds
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void reconcile(Set<AdapterVersion> resident, long takenAtMillis, long nowMillis) {
    revision++;
    slots.reconcile(resident, takenAtMillis, nowMillis);
  }

  /**
   * Handles a restart of the engine, which unloaded all versions. Lost loads can start again.
   *
   * @return the number of permits of the store that the lost loads held
   */
  public int onRestarted() {
    revision++;
    int lostLoads = (int) pending.values().stream().filter(PendingLoad::isStarted).count();
    slots.clear();
    pending.values().forEach(PendingLoad::markNotStarted);
    pending.values().removeIf(load -> !load.hasWaiters());
    return lostLoads;
  }

  /**
   * Excludes the engine from placement, or includes it again.
   *
   * @param isLeaving whether the engine accepts no new requests
   * @param nowMillis the monotonic time, in milliseconds
   * @return refusals for the waiting gateways if the engine is leaving
   */
  public List<PlacementCommand> setLeaving(boolean isLeaving, long nowMillis) {
    leaving = isLeaving;
    if (!leaving) {
      return List.of();
    }
    return declineWaiting(load -> true, DeclineReason.LEAVING, nowMillis);
  }

  /**
   * Declines requests that have waited too long, and frees a slot in advance.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return refusals, and the order to unload an idle version
   */
  public List<PlacementCommand> advance(long nowMillis) {
    backoff.removeExpired(nowMillis);
    List<PlacementCommand> commands = new ArrayList<>();
    for (PendingLoad load : pending.values()) {
      for (HostId gateway : load.expired(settings.maximumWaitMillis(), nowMillis)) {
        load.remove(gateway);
        commands.add(decline(gateway, load.version(), DeclineReason.STORE_BUSY, nowMillis));
      }
    }
    if (pending.values().removeIf(load -> !load.isStarted() && !load.hasWaiters())) {
      revision++;
    }
    commands.addAll(unloadIdle(nowMillis));
    return commands;
  }

  /** Frees one slot in advance if an evictable version has been idle for long enough. */
  private List<PlacementCommand> unloadIdle(long nowMillis) {
    if (slots.free() > 0 || slots.unloadingCount() > 0 || !pending.isEmpty()) {
      return List.of();
    }
    Optional<ResidentVersion> victim = eviction.selectVictim(candidates(nowMillis), nowMillis);
    if (victim.isEmpty() || nowMillis - victim.get().lastUsedAtMillis() < settings.idleMillis()) {
      return List.of();
    }
    revision++;
    slots.startUnload(victim.get().version());
    return List.of(new PlacementCommand.StartUnload(victim.get().version(), PlacementReason.IDLE));
  }

  private Optional<LoadDemand> prefetchDemand(long nowMillis) {
    if (!prefetch.isDue(nowMillis)) {
      return Optional.empty();
    }
    Optional<ResidentVersion> victim = Optional.empty();
    if (slots.free() <= SLOTS_KEPT_FREE) {
      victim = eviction.selectVictim(candidates(nowMillis), nowMillis);
      if (victim.isEmpty()) {
        return Optional.empty();
      }
    }
    return prefetch
        .next(
            version -> !slots.isResident(version) && !slots.isUnloading(version), victim, nowMillis)
        .filter(version -> backoff.pauseMillis(version, nowMillis) == 0)
        .map(version -> new LoadDemand(version, PlacementReason.PREFETCH, nowMillis, 0));
  }

  private PlacementCommand orderLoad(PendingLoad load) {
    slots.startLoad(load.version());
    return new PlacementCommand.StartLoad(load.version(), load.demand(0).reason());
  }

  private List<PlacementCommand> evict(long nowMillis) {
    Optional<ResidentVersion> victim = eviction.selectVictim(candidates(nowMillis), nowMillis);
    if (victim.isEmpty()) {
      return List.of();
    }
    AdapterVersion version = victim.get().version();
    slots.startUnload(version);
    return List.of(new PlacementCommand.StartUnload(version, PlacementReason.REPLACED));
  }

  private List<PlacementCommand> fillFreeSlots() {
    List<PlacementCommand> commands = new ArrayList<>();
    for (PendingLoad load : pending.values()) {
      if (isAwaitingSlot(load) && slots.free() > 0 && !slots.isUnloading(load.version())) {
        commands.add(orderLoad(load));
      }
    }
    return commands;
  }

  private List<ResidentVersion> candidates(long nowMillis) {
    return slots.candidates(mayEvict, popularity, nowMillis);
  }

  private boolean isAwaitingSlot(PendingLoad load) {
    return load.isStarted() && !slots.isLoading(load.version());
  }

  private int loadsAwaitingSlot() {
    return (int) pending.values().stream().filter(this::isAwaitingSlot).count();
  }

  private boolean canFreeSlot(long nowMillis) {
    return slots.free() > loadsAwaitingSlot()
        || eviction.selectVictim(candidates(nowMillis), nowMillis).isPresent();
  }

  private boolean hasSlotForAnotherLoad(long nowMillis) {
    int claimed = (int) pending.values().stream().filter(load -> !isLoadingNow(load)).count();
    return slots.free() + slots.unloadingCount() + candidates(nowMillis).size() > claimed;
  }

  private boolean isLoadingNow(PendingLoad load) {
    return slots.isLoading(load.version());
  }

  private List<PlacementCommand> declineWaiting(
      Predicate<PendingLoad> filter, DeclineReason reason, long nowMillis) {
    List<PlacementCommand> commands = new ArrayList<>();
    for (PendingLoad load : List.copyOf(pending.values())) {
      if (filter.test(load)) {
        commands.addAll(declineAll(load, reason, nowMillis));
      }
    }
    return commands;
  }

  private List<PlacementCommand> declineAll(
      PendingLoad load, DeclineReason reason, long nowMillis) {
    List<PlacementCommand> commands = new ArrayList<>();
    for (HostId gateway : load.gateways()) {
      commands.add(decline(gateway, load.version(), reason, nowMillis));
    }
    load.removeAll();
    if (!load.isStarted()) {
      pending.remove(load.version());
      revision++;
    }
    return commands;
  }

  private PlacementCommand decline(
      HostId gateway, AdapterVersion version, DeclineReason reason, long nowMillis) {
    long retryAfterMillis =
        Math.max(MINIMUM_RETRY_AFTER_MILLIS, backoff.pauseMillis(version, nowMillis));
    return new PlacementCommand.Decline(gateway, version, reason, retryAfterMillis);
  }
}
