package org.lentilhinge.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.placement.DemandHint;
import org.lentilhinge.placement.EndpointCommand;
import org.lentilhinge.placement.EndpointPlacement;
import org.lentilhinge.placement.EngineAnnouncer;
import org.lentilhinge.placement.LoadRequest;
import org.lentilhinge.placement.PlacementCommand;
import org.lentilhinge.placement.PlacementScheduler;
import org.lentilhinge.store.AddressedMessage;
import org.lentilhinge.store.LoadPermits;
import org.lentilhinge.store.StoreBudgetShare;

/**
 * Connects entry hosts, owners, simulated engines and the simulated store over links with latency.
 */
final class ReplayFleet {

  private static final long TICK_MILLIS = 50;
  private static final long REPORT_LAG_MILLIS = 250;
  private static final long UNLOAD_MILLIS = 10;
  private static final long DETECTION_MILLIS = 500;

  private final VirtualClock clock;
  private final Workload workload;
  private final Contender contender;
  private final SimulatedStore store;
  private final ReplayStatistics statistics;
  private final Map<HostId, ReplayGateway> gateways = new LinkedHashMap<>();
  private final Map<HostId, StoreBudgetShare> shares = new LinkedHashMap<>();
  private final List<PlacementScheduler> schedulers = new ArrayList<>();
  private final Map<EndpointId, ReplayEngine> engines = new TreeMap<>();
  private final Map<EndpointId, Integer> incarnations = new HashMap<>();

  ReplayFleet(
      VirtualClock clock,
      Workload workload,
      Contender contender,
      Configuration configuration,
      long seed) {
    this.clock = clock;
    this.workload = workload;
    this.contender = contender;
    this.store = new SimulatedStore(clock, seed);
    this.statistics = new ReplayStatistics();
    ReplayTopology.hosts()
        .forEach((host, zone) -> gateways.put(host, gateway(host, zone, configuration, seed)));
    createEngines(configuration, seed);
    clock.scheduleEvery(TICK_MILLIS, this::tick);
  }

  ReplayStatistics statistics() {
    return statistics;
  }

  SimulatedStore store() {
    return store;
  }

  List<EngineActivity> engineActivities() {
    return engines.values().stream().map(engine -> engine.simulated().activity()).toList();
  }

  void arrive(Arrival arrival) {
    List<ReplayGateway> available =
        gateways.values().stream().filter(gateway -> !gateway.hasFailed()).toList();
    List<ReplayGateway> local =
        available.stream()
            .filter(
                gateway ->
                    ReplayTopology.regionOf(gateway.zone()).equals(ReplayTopology.FAR)
                        == arrival.inFarRegion())
            .toList();
    local.get((int) (arrival.hostPosition() * local.size())).arrive(arrival);
  }

  void restartEngines() {
    for (EndpointId endpoint : engines.keySet()) {
      ReplayEngine engine = engines.get(endpoint);
      incarnations.merge(endpoint, 1, Integer::sum);
      List<ReplayRequest> dropped = engine.simulated().restart();
      engine.grants().clear();
      execute(engine.scheduler().onRestarted(endpoint, clock.nowMillis()));
      dropped.forEach(request -> returnDropped(request, endpoint));
    }
  }

  void failZone(ZoneId zone) {
    gateways.values().stream()
        .filter(gateway -> gateway.zone().equals(zone))
        .forEach(gateway -> failGateway(gateway));
    for (ReplayEngine engine : engines.values()) {
      if (engine.engine().zone().equals(zone)) {
        failEngine(engine);
      }
    }
  }

  long roundTripMillis(ReplayGateway gateway, EndpointId endpoint) {
    return 2 * ReplayTopology.latencyMillis(gateway.zone(), zoneOf(endpoint)) + 1;
  }

  boolean holdsGrant(ReplayGateway gateway, EndpointId endpoint, AdapterVersion version) {
    long arrivalMillis =
        clock.nowMillis() + ReplayTopology.latencyMillis(gateway.zone(), zoneOf(endpoint));
    return engines.get(endpoint).grants().hasGrant(gateway.host(), version, arrivalMillis);
  }

  /** Reports a use under a grant that the gateway holds, which renews the grant. */
  void recordUse(ReplayGateway gateway, EndpointId endpoint, AdapterVersion version) {
    engines.get(endpoint).placement().recordUse(version, 1, clock.nowMillis());
  }

  void requestGrant(ReplayGateway gateway, EndpointId endpoint, LoadRequest request) {
    sendToEngine(
        gateway,
        endpoint,
        engine -> execute(engine.scheduler().request(endpoint, request, clock.nowMillis())));
  }

  void sendHint(ReplayGateway gateway, DemandHint hint) {
    sendToEngine(
        gateway,
        hint.endpoint(),
        engine -> engine.scheduler().onDemandHint(hint, clock.nowMillis()));
  }

  void withdrawRequest(ReplayGateway gateway, EndpointId endpoint, AdapterVersion version) {
    sendToEngine(gateway, endpoint, engine -> engine.placement().withdraw(gateway.host(), version));
  }

  void dispatch(ReplayGateway gateway, ReplayRequest request, EndpointId endpoint) {
    ReplayEngine engine = engines.get(endpoint);
    engine.grants().startUse(gateway.host(), request.classified().version());
    statistics.recordDispatch(request, gateway.zone(), engine.engine().zone());
    clock.scheduleAfter(
        ReplayTopology.latencyMillis(gateway.zone(), zoneOf(endpoint)),
        () -> {
          if (engine.simulated().hasFailed()) {
            returnDropped(request, endpoint);
          } else {
            engine.simulated().submit(request);
          }
        });
  }

  private ReplayGateway gateway(HostId host, ZoneId zone, Configuration configuration, long seed) {
    return new ReplayGateway(
        host,
        zone,
        this,
        clock,
        configuration,
        contender.routing(workload, configuration, seed + host.value().hashCode()));
  }

  private void createEngines(Configuration configuration, long seed) {
    Map<HostId, PlacementScheduler> schedulersByHost = createSchedulers(configuration);
    int position = 0;
    for (ZoneId zone : ReplayTopology.ZONES) {
      List<HostId> hosts = hostsOf(zone);
      for (Engine engine : configuration.enginesOf(zone)) {
        PlacementScheduler scheduler = schedulersByHost.get(hosts.get(position++ % hosts.size()));
        engines.put(engine.id(), createEngine(engine, scheduler, seed));
      }
    }
  }

  private Map<HostId, PlacementScheduler> createSchedulers(Configuration configuration) {
    Map<HostId, PlacementScheduler> schedulersByHost = new HashMap<>();
    PlacementScheduler sharedScheduler =
        new PlacementScheduler(new SingleStoreQueue(), contender.loadRanking());
    for (HostId host : gateways.keySet()) {
      if (contender.usesSingleStoreQueue()) {
        schedulersByHost.put(host, sharedScheduler);
        continue;
      }
      ZoneId zone = gateways.get(host).zone();
      StoreBudgetShare share =
          new StoreBudgetShare(host, zone, hostsOf(zone), configuration.storeBudget(), 0);
      shares.put(host, share);
      schedulersByHost.put(
          host, new PlacementScheduler((LoadPermits) share, contender.loadRanking()));
    }
    schedulers.addAll(
        contender.usesSingleStoreQueue() ? List.of(sharedScheduler) : schedulersByHost.values());
    return schedulersByHost;
  }

  private ReplayEngine createEngine(Engine engine, PlacementScheduler scheduler, long seed) {
    GrantTable grants = new GrantTable();
    SimulatedEngine simulated =
        new SimulatedEngine(
            workload.engine(), clock, request -> returnCompleted(request, engine.id()));
    EndpointPlacement placement =
        new EndpointPlacement(
            engine,
            contender.placementSettings(workload, engine.zone()),
            contender.eviction(),
            contender.loadRanking(),
            version -> grants.mayEvict(version, clock.nowMillis()),
            new SplittableRandom(seed + engine.id().value().hashCode()));
    scheduler.acquire(placement);
    incarnations.put(engine.id(), 0);
    return new ReplayEngine(
        engine, simulated, grants, placement, scheduler, new EngineAnnouncer(placement, 1));
  }

  private void tick() {
    for (ReplayEngine engine : engines.values()) {
      if (!engine.simulated().hasFailed()) {
        announce(engine);
      }
    }
    schedulers.forEach(scheduler -> execute(scheduler.advance(clock.nowMillis())));
    shares.forEach(
        (host, share) -> share.messages(clock.nowMillis()).forEach(message -> send(host, message)));
    for (ReplayGateway gateway : gateways.values()) {
      if (!gateway.hasFailed()) {
        gateway.refuseExpired();
        gateway.admitRequests();
      }
    }
  }

  private void announce(ReplayEngine engine) {
    engine
        .announcer()
        .nextAnnouncement(
            engine.simulated().running(), engine.simulated().queued(), false, clock.nowMillis())
        .ifPresent(
            announcement ->
                gateways.values().stream()
                    .filter(gateway -> !gateway.hasFailed())
                    .forEach(
                        gateway ->
                            clock.scheduleAfter(
                                REPORT_LAG_MILLIS
                                    + ReplayTopology.latencyMillis(
                                        engine.engine().zone(), gateway.zone()),
                                () -> gateway.onAnnouncement(announcement))));
  }

  private void send(HostId from, AddressedMessage message) {
    clock.scheduleAfter(
        1,
        () -> {
          StoreBudgetShare recipient = shares.get(message.recipient());
          if (!gateways.get(message.recipient()).hasFailed() && !gateways.get(from).hasFailed()) {
            recipient
                .onMessage(message.message(), clock.nowMillis())
                .ifPresent(answer -> send(message.recipient(), answer));
          }
        });
  }

  private void execute(List<EndpointCommand> commands) {
    for (EndpointCommand endpointCommand : commands) {
      ReplayEngine engine = engines.get(endpointCommand.endpoint());
      PlacementCommand command = endpointCommand.command();
      if (command instanceof PlacementCommand.StartLoad load) {
        startLoad(engine, load.version());
      } else if (command instanceof PlacementCommand.StartUnload unload) {
        startUnload(engine, unload.version());
      } else if (command instanceof PlacementCommand.Permit permit) {
        engine.grants().grant(permit.gateway(), permit.version(), clock.nowMillis());
        sendToGateway(
            engine,
            permit.gateway(),
            gateway -> gateway.onPermit(endpointCommand.endpoint(), permit.version()));
      } else if (command instanceof PlacementCommand.Decline decline) {
        sendToGateway(
            engine,
            decline.gateway(),
            gateway -> gateway.onDecline(endpointCommand.endpoint(), decline.version()));
      }
    }
  }

  private void startLoad(ReplayEngine engine, AdapterVersion version) {
    EndpointId endpoint = engine.engine().id();
    int incarnation = incarnations.get(endpoint);
    statistics.recordLoadStart(engine.engine().zone(), workload.adapterBytes());
    store.load(
        succeeded -> {
          if (incarnations.get(endpoint) != incarnation) {
            return;
          }
          execute(
              succeeded
                  ? engine.scheduler().onLoaded(endpoint, version, clock.nowMillis())
                  : engine.scheduler().onLoadFailed(endpoint, version, clock.nowMillis()));
        });
  }

  private void startUnload(ReplayEngine engine, AdapterVersion version) {
    EndpointId endpoint = engine.engine().id();
    int incarnation = incarnations.get(endpoint);
    clock.scheduleAfter(
        UNLOAD_MILLIS,
        () -> {
          if (incarnations.get(endpoint) == incarnation) {
            execute(engine.scheduler().onUnloaded(endpoint, version, clock.nowMillis()));
          }
        });
  }

  private void returnCompleted(ReplayRequest request, EndpointId endpoint) {
    ReplayEngine engine = engines.get(endpoint);
    ReplayGateway gateway = gateways.get(request.id().incarnation().host());
    engine.grants().endUse(gateway.host(), request.classified().version(), clock.nowMillis());
    sendToGateway(engine, gateway.host(), recipient -> recipient.onCompleted(request));
  }

  private void returnDropped(ReplayRequest request, EndpointId endpoint) {
    ReplayGateway gateway = gateways.get(request.id().incarnation().host());
    clock.scheduleAfter(
        DETECTION_MILLIS,
        () -> {
          if (!gateway.hasFailed()) {
            gateway.onDropped(request, endpoint);
          }
        });
  }

  private void failGateway(ReplayGateway gateway) {
    gateway.fail();
    engines.values().forEach(engine -> engine.grants().removeGateway(gateway.host()));
  }

  private void failEngine(ReplayEngine engine) {
    EndpointId endpoint = engine.engine().id();
    incarnations.merge(endpoint, 1, Integer::sum);
    List<ReplayRequest> dropped = engine.simulated().fail();
    engine.scheduler().onRestarted(endpoint, clock.nowMillis());
    engine.scheduler().release(endpoint);
    dropped.forEach(request -> returnDropped(request, endpoint));
    clock.scheduleAfter(
        DETECTION_MILLIS,
        () ->
            gateways.values().stream()
                .filter(gateway -> !gateway.hasFailed())
                .forEach(gateway -> gateway.markSuspect(endpoint)));
  }

  private void sendToEngine(
      ReplayGateway gateway, EndpointId endpoint, Consumer<ReplayEngine> action) {
    ReplayEngine engine = engines.get(endpoint);
    clock.scheduleAfter(
        ReplayTopology.latencyMillis(gateway.zone(), engine.engine().zone()),
        () -> {
          if (!engine.simulated().hasFailed()) {
            action.accept(engine);
          }
        });
  }

  private void sendToGateway(ReplayEngine engine, HostId host, Consumer<ReplayGateway> action) {
    ReplayGateway gateway = gateways.get(host);
    clock.scheduleAfter(
        ReplayTopology.latencyMillis(engine.engine().zone(), gateway.zone()),
        () -> {
          if (!gateway.hasFailed()) {
            action.accept(gateway);
          }
        });
  }

  private ZoneId zoneOf(EndpointId endpoint) {
    return engines.get(endpoint).engine().zone();
  }

  private List<HostId> hostsOf(ZoneId zone) {
    return gateways.values().stream()
        .filter(gateway -> gateway.zone().equals(zone))
        .map(ReplayGateway::host)
        .toList();
  }
}
