package org.lentilhinge.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.store.LoadPermits;

/**
 * Manages the placement of all engines that a host owns, and uses the host's permits of the store
 * for the highest-ranked loads among them.
 *
 * <p>The host calls {@link #acquire} when it becomes an engine's owner and {@link #release} when
 * its lease ends. It passes in each event and carries out the returned commands: orders to engines
 * under its fencing token, and permits and refusals to gateways.
 */
public final class PlacementScheduler {

  private final LoadPermits permits;
  private final LoadRanking ranking;
  private final Map<EndpointId, EndpointPlacement> owned = new TreeMap<>();

  /**
   * Creates a scheduler that owns no engine yet.
   *
   * @param permits the host's permits of the store
   * @param ranking ranks the loads of different engines
   */
  public PlacementScheduler(LoadPermits permits, LoadRanking ranking) {
    this.permits = permits;
    this.ranking = ranking;
  }

  /**
   * Adds an engine of which the host has become the owner.
   *
   * @param placement the placement of the engine
   */
  public void acquire(EndpointPlacement placement) {
    owned.put(placement.endpoint(), placement);
  }

  /**
   * Removes an engine that the host no longer owns. Loads in flight on the engine keep their
   * permits until their end is reported.
   *
   * @param endpoint the engine
   */
  public void release(EndpointId endpoint) {
    owned.remove(endpoint);
  }

  /**
   * Looks up an owned engine.
   *
   * @param endpoint the engine
   * @return the placement of the engine, or empty if the host does not own it
   */
  public Optional<EndpointPlacement> placement(EndpointId endpoint) {
    return Optional.ofNullable(owned.get(endpoint));
  }

  /**
   * Handles a gateway's request and starts the loads that may start.
   *
   * @param endpoint the engine
   * @param request the request
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands; none for this engine if the host does not own it
   */
  public List<EndpointCommand> request(EndpointId endpoint, LoadRequest request, long nowMillis) {
    List<EndpointCommand> commands = new ArrayList<>();
    placement(endpoint)
        .ifPresent(engine -> add(commands, endpoint, engine.request(request, nowMillis)));
    startLoads(commands, nowMillis);
    return commands;
  }

  /**
   * Records that requests would have run on an engine had their version been resident there.
   *
   * @param hint the engine, the version and the number of requests
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void onDemandHint(DemandHint hint, long nowMillis) {
    placement(hint.endpoint())
        .ifPresent(engine -> engine.recordUse(hint.version(), hint.requests(), nowMillis));
  }

  /**
   * Handles the successful end of a load, and returns its permit.
   *
   * @param endpoint the engine
   * @param version the version
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<EndpointCommand> onLoaded(
      EndpointId endpoint, AdapterVersion version, long nowMillis) {
    permits.finish(nowMillis);
    List<EndpointCommand> commands = new ArrayList<>();
    placement(endpoint)
        .ifPresent(engine -> add(commands, endpoint, engine.onLoaded(version, nowMillis)));
    startLoads(commands, nowMillis);
    return commands;
  }

  /**
   * Handles a failed load, and returns its permit.
   *
   * @param endpoint the engine
   * @param version the version
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<EndpointCommand> onLoadFailed(
      EndpointId endpoint, AdapterVersion version, long nowMillis) {
    permits.finish(nowMillis);
    List<EndpointCommand> commands = new ArrayList<>();
    placement(endpoint)
        .ifPresent(engine -> add(commands, endpoint, engine.onLoadFailed(version, nowMillis)));
    startLoads(commands, nowMillis);
    return commands;
  }

  /**
   * Handles the successful unloading of a version.
   *
   * @param endpoint the engine
   * @param version the version
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<EndpointCommand> onUnloaded(
      EndpointId endpoint, AdapterVersion version, long nowMillis) {
    List<EndpointCommand> commands = new ArrayList<>();
    placement(endpoint)
        .ifPresent(engine -> add(commands, endpoint, engine.onUnloaded(version, nowMillis)));
    startLoads(commands, nowMillis);
    return commands;
  }

  /**
   * Handles a failed unload.
   *
   * @param endpoint the engine
   * @param version the version
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<EndpointCommand> onUnloadFailed(
      EndpointId endpoint, AdapterVersion version, long nowMillis) {
    List<EndpointCommand> commands = new ArrayList<>();
    placement(endpoint)
        .ifPresent(engine -> add(commands, endpoint, engine.onUnloadFailed(version, nowMillis)));
    return commands;
  }

  /**
   * Handles a restart of an engine, which unloaded all versions.
   *
   * @param endpoint the engine
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<EndpointCommand> onRestarted(EndpointId endpoint, long nowMillis) {
    int lostLoads = placement(endpoint).map(EndpointPlacement::onRestarted).orElse(0);
    for (int load = 0; load < lostLoads; load++) {
      permits.finish(nowMillis);
    }
    return advance(nowMillis);
  }

  /**
   * Excludes an engine from placement, or includes it again.
   *
   * @param endpoint the engine
   * @param leaving whether the engine accepts no new requests
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<EndpointCommand> setLeaving(EndpointId endpoint, boolean leaving, long nowMillis) {
    List<EndpointCommand> commands = new ArrayList<>();
    placement(endpoint)
        .ifPresent(engine -> add(commands, endpoint, engine.setLeaving(leaving, nowMillis)));
    return commands;
  }

  /**
   * Declines requests that have waited too long and starts the loads that may start.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<EndpointCommand> advance(long nowMillis) {
    List<EndpointCommand> commands = new ArrayList<>();
    owned.forEach((endpoint, engine) -> add(commands, endpoint, engine.advance(nowMillis)));
    startLoads(commands, nowMillis);
    return commands;
  }

  private void startLoads(List<EndpointCommand> commands, long nowMillis) {
    Optional<EndpointDemand> next = highestRanked(nowMillis);
    while (next.isPresent() && permits.tryStart(isSpeculative(next.get().demand()), nowMillis)) {
      EndpointPlacement engine = next.get().engine();
      add(commands, engine.endpoint(), engine.startLoad(next.get().demand(), nowMillis));
      next = highestRanked(nowMillis);
    }
    int ahead = owned.values().stream().mapToInt(EndpointPlacement::loadsNotStarted).sum();
    long waitMillis = permits.expectedWaitMillis(ahead, nowMillis);
    owned.values().forEach(engine -> engine.setLoadWaitMillis(waitMillis));
    permits.reportDemand(
        next.map(best -> best.demand().waitingRequestSeconds()).orElse(0.0), nowMillis);
  }

  private static boolean isSpeculative(LoadDemand demand) {
    return demand.reason() == PlacementReason.PREFETCH;
  }

  private record EndpointDemand(EndpointPlacement engine, LoadDemand demand) {}

  private Optional<EndpointDemand> highestRanked(long nowMillis) {
    EndpointDemand best = null;
    for (EndpointPlacement engine : owned.values()) {
      Optional<LoadDemand> demand = engine.demand(nowMillis);
      if (demand.isPresent()
          && (best == null || ranking.rank(demand.get()) > ranking.rank(best.demand()))) {
        best = new EndpointDemand(engine, demand.get());
      }
    }
    return Optional.ofNullable(best);
  }

  private static void add(
      List<EndpointCommand> commands, EndpointId endpoint, List<PlacementCommand> added) {
    added.forEach(command -> commands.add(new EndpointCommand(endpoint, command)));
  }
}
