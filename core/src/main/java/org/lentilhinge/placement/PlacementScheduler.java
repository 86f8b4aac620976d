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
 * <p>The host calls {@link #own} when it becomes an engine's owner and {@link #disown} when its
 * lease ends. It passes in each event and carries out the returned commands: orders to engines
 * under its fencing token, and permits and refusals to gateways.
 */
public final class PlacementScheduler {

  private final LoadPermits permits;
  private final LoadOrder order;
  private final Map<EndpointId, EndpointPlacement> owned = new TreeMap<>();

  /**
   * Creates a scheduler that owns no engine yet.
   *
   * @param permits the host's permits of the store
   * @param ranking ranks the loads of different engines
   */
  public PlacementScheduler(LoadPermits permits, LoadOrder ranking) {
    this.permits = permits;
    this.order = ranking;
  }

  /**
   * Adds an engine of which the host has become the owner.
   *
   * @param placement the placement of the engine
   */
  public void own(EndpointPlacement placement) {
    owned.put(placement.endpoint(), placement);
  }

  /**
   * Removes an engine that the host no longer owns. Loads in flight on the engine keep their
   * permits until their end is reported.
   *
   * @param endpoint the engine
   */
  public void disown(EndpointId endpoint) {
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
   * @param nowMillis the monotonic time
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
   * @param nowMillis the monotonic time
   */
  public void hinted(DemandHint hint, long nowMillis) {
    placement(hint.endpoint())
        .ifPresent(engine -> engine.used(hint.version(), hint.requests(), nowMillis));
  }

  /**
   * Handles the successful end of a load, and returns its permit.
   *
   * @param endpoint the engine
   * @param version the version
   * @param nowMillis the monotonic time
   * @return the commands
   */
  public List<EndpointCommand> loaded(EndpointId endpoint, AdapterVersion version, long nowMillis) {
    permits.finish(nowMillis);
    List<EndpointCommand> commands = new ArrayList<>();
    placement(endpoint)
        .ifPresent(engine -> add(commands, endpoint, engine.loaded(version, nowMillis)));
    startLoads(commands, nowMillis);
    return commands;
  }

  /**
   * Handles a failed load, and returns its permit.
   *
   * @param endpoint the engine
   * @param version the version
   * @param nowMillis the monotonic time
   * @return the commands
   */
  public List<EndpointCommand> loadFailed(
      EndpointId endpoint, AdapterVersion version, long nowMillis) {
    permits.finish(nowMillis);
    List<EndpointCommand> commands = new ArrayList<>();
    placement(endpoint)
        .ifPresent(engine -> add(commands, endpoint, engine.loadFailed(version, nowMillis)));
    startLoads(commands, nowMillis);
    return commands;
  }

  /**
   * Handles the successful unloading of a version.
   *
   * @param endpoint the engine
   * @param version the version
   * @param nowMillis the monotonic time
   * @return the commands
   */
  public List<EndpointCommand> unloaded(
      EndpointId endpoint, AdapterVersion version, long nowMillis) {
    List<EndpointCommand> commands = new ArrayList<>();
    placement(endpoint)
        .ifPresent(engine -> add(commands, endpoint, engine.unloaded(version, nowMillis)));
    startLoads(commands, nowMillis);
    return commands;
  }

  /**
   * Handles a failed unload.
   *
   * @param endpoint the engine
   * @param version the version
   * @param nowMillis the monotonic time
   * @return the commands
   */
  public List<EndpointCommand> unloadFailed(
      EndpointId endpoint, AdapterVersion version, long nowMillis) {
    List<EndpointCommand> commands = new ArrayList<>();
    placement(endpoint)
        .ifPresent(engine -> add(commands, endpoint, engine.unloadFailed(version, nowMillis)));
    return commands;
  }

  /**
   * Handles a restart of an engine, which left it empty.
   *
   * @param endpoint the engine
   * @param nowMillis the monotonic time
   * @return the commands
   */
  public List<EndpointCommand> restarted(EndpointId endpoint, long nowMillis) {
    int lostLoads = placement(endpoint).map(EndpointPlacement::restarted).orElse(0);
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
   * @param nowMillis the monotonic time
   * @return the commands
   */
  public List<EndpointCommand> leave(EndpointId endpoint, boolean leaving, long nowMillis) {
    List<EndpointCommand> commands = new ArrayList<>();
    placement(endpoint)
        .ifPresent(engine -> add(commands, endpoint, engine.leave(leaving, nowMillis)));
    return commands;
  }

  /**
   * Declines requests that have waited too long and starts the loads that may start.
   *
   * @param nowMillis the monotonic time
   * @return the commands
   */
  public List<EndpointCommand> advance(long nowMillis) {
    List<EndpointCommand> commands = new ArrayList<>();
    owned.forEach((endpoint, engine) -> add(commands, endpoint, engine.advance(nowMillis)));
    startLoads(commands, nowMillis);
    return commands;
  }

  private void startLoads(List<EndpointCommand> commands, long nowMillis) {
    Optional<EndpointDemand> next = mostWanted(nowMillis);
    while (next.isPresent() && permits.tryStart(isSpeculative(next.get().demand()), nowMillis)) {
      EndpointPlacement engine = next.get().engine();
      add(commands, engine.endpoint(), engine.startLoad(next.get().demand(), nowMillis));
      next = mostWanted(nowMillis);
    }
    int ahead = owned.values().stream().mapToInt(EndpointPlacement::loadsNotStarted).sum();
    long waitMillis = permits.expectedWaitMillis(ahead, nowMillis);
    owned.values().forEach(engine -> engine.expectLoadWait(waitMillis));
    permits.wanted(
        next.map(wanted -> wanted.demand().waitingRequestSeconds()).orElse(0.0), nowMillis);
  }

  private static boolean isSpeculative(LoadDemand demand) {
    return demand.reason() == PlacementReason.PREFETCH;
  }

  private record EndpointDemand(EndpointPlacement engine, LoadDemand demand) {}

  private Optional<EndpointDemand> mostWanted(long nowMillis) {
    EndpointDemand best = null;
    for (EndpointPlacement engine : owned.values()) {
      Optional<LoadDemand> demand = engine.demand(nowMillis);
      if (demand.isPresent()
          && (best == null || order.rank(demand.get()) > order.rank(best.demand()))) {
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
