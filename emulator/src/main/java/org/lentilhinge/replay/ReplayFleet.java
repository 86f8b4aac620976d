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
import org.lentilhinge.store.StoreShare;

/**
 * Connects entry hosts, owners, simulated engines and the simulated store over links with latency.
 */
final class ReplayFleet {

  private static final long TICK_MILLIS = 50;
  private static final long REPORT_LAG_MILLIS = 250;
  private static final long UNLOAD_MILLIS = 10;
  private static final long DETECTION_MILLIS = 500;

  private final VirtualTime time;
  private final Workload workload;
  private final Contender contender;
  private final StoreFake store;
  private final ReplayMeasures measures;
  private final Map<HostId, ReplayGateway> gateways = new LinkedHashMap<>();
  private final Map<HostId, StoreShare> shares = new LinkedHashMap<>();
  private final List<PlacementScheduler> schedulers = new ArrayList<>();
  private final Map<EndpointId, ReplayEngine> engines = new TreeMap<>();
  private final Map<EndpointId, Integer> lives = new HashMap<>();

  ReplayFleet(
      VirtualTime time,
      Workload workload,
      Contender contender,
      Configuration configuration,
      long seed) {
    this.time = time;
    this.workload = workload;
    this.contender = contender;
    this.store = new StoreFake(time, seed);
    this.measures = new ReplayMeasures();
    ReplayTopology.hosts()
        .forEach((host, zone) -> gateways.put(host, gateway(host, zone, configuration, seed)));
    createEngines(configuration, seed);
    time.every(TICK_MILLIS, this::tick);
  }

  ReplayMeasures measures() {
    return measures;
  }

  StoreFake store() {
    return store;
  }

  List<EngineMeasures> engineMeasures() {
    return engines.values().stream().map(engine -> engine.fake().measures()).toList();
  }

  void arrive(Arrival arrival) {
    List<ReplayGateway> available =
        gateways.values().stream().filter(gateway -> !gateway.isLost()).toList();
    List<ReplayGateway> local =
        available.stream()
            .filter(
                gateway ->
                    ReplayTopology.regionOf(gateway.zone()).equals(ReplayTopology.FAR)
                        == arrival.farRegion())
            .toList();
    local.get((int) (arrival.host() * local.size())).arrive(arrival);
  }

  void restartEngines() {
    for (EndpointId endpoint : engines.keySet()) {
      ReplayEngine engine = engines.get(endpoint);
      lives.merge(endpoint, 1, Integer::sum);
      List<ReplayRequest> dropped = engine.fake().restart();
      engine.grants().clear();
      carryOut(engine.scheduler().restarted(endpoint, time.nowMillis()));
      dropped.forEach(request -> returnDropped(request, endpoint));
    }
  }

  void loseZone(ZoneId zone) {
    gateways.values().stream()
        .filter(gateway -> gateway.zone().equals(zone))
        .forEach(gateway -> loseGateway(gateway));
    for (ReplayEngine engine : engines.values()) {
      if (engine.engine().zone().equals(zone)) {
        loseEngine(engine);
      }
    }
  }

  long roundTripMillis(ReplayGateway gateway, EndpointId endpoint) {
    return 2 * ReplayTopology.latencyMillis(gateway.zone(), zoneOf(endpoint)) + 1;
  }

  boolean holdsGrant(ReplayGateway gateway, EndpointId endpoint, AdapterVersion version) {
    long arrivalMillis =
        time.nowMillis() + ReplayTopology.latencyMillis(gateway.zone(), zoneOf(endpoint));
    return engines.get(endpoint).grants().holds(gateway.host(), version, arrivalMillis);
  }

  /** Reports a use under a grant that the gateway holds, which renews the grant. */
  void used(ReplayGateway gateway, EndpointId endpoint, AdapterVersion version) {
    engines.get(endpoint).placement().used(version, 1, time.nowMillis());
  }

  void requestGrant(ReplayGateway gateway, EndpointId endpoint, LoadRequest request) {
    toEngine(
        gateway,
        endpoint,
        engine -> carryOut(engine.scheduler().request(endpoint, request, time.nowMillis())));
  }

  void hint(ReplayGateway gateway, DemandHint hint) {
    toEngine(gateway, hint.endpoint(), engine -> engine.scheduler().hinted(hint, time.nowMillis()));
  }

  void withdraw(ReplayGateway gateway, EndpointId endpoint, AdapterVersion version) {
    toEngine(gateway, endpoint, engine -> engine.placement().withdraw(gateway.host(), version));
  }

  void dispatch(ReplayGateway gateway, ReplayRequest request, EndpointId endpoint) {
    ReplayEngine engine = engines.get(endpoint);
    engine.grants().use(gateway.host(), request.classified().version());
    measures.dispatched(request, gateway.zone(), engine.engine().zone());
    time.after(
        ReplayTopology.latencyMillis(gateway.zone(), zoneOf(endpoint)),
        () -> {
          if (engine.fake().isLost()) {
            returnDropped(request, endpoint);
          } else {
            engine.fake().submit(request);
          }
        });
  }

  private ReplayGateway gateway(HostId host, ZoneId zone, Configuration configuration, long seed) {
    return new ReplayGateway(
        host,
        zone,
        this,
        time,
        configuration,
        contender.routing(workload, configuration, seed + host.value().hashCode()));
  }

  private void createEngines(Configuration configuration, long seed) {
    Map<HostId, PlacementScheduler> byHost = createSchedulers(configuration);
    int position = 0;
    for (ZoneId zone : ReplayTopology.ZONES) {
      List<HostId> hosts = hostsOf(zone);
      for (Engine engine : configuration.enginesOf(zone)) {
        PlacementScheduler scheduler = byHost.get(hosts.get(position++ % hosts.size()));
        engines.put(engine.id(), createEngine(engine, scheduler, seed));
      }
    }
  }

  private Map<HostId, PlacementScheduler> createSchedulers(Configuration configuration) {
    Map<HostId, PlacementScheduler> byHost = new HashMap<>();
    PlacementScheduler common =
        new PlacementScheduler(new SingleStoreQueue(), contender.loadOrder());
    for (HostId host : gateways.keySet()) {
      if (contender.hasOneStoreQueue()) {
        byHost.put(host, common);
        continue;
      }
      ZoneId zone = gateways.get(host).zone();
      StoreShare share = new StoreShare(host, zone, hostsOf(zone), configuration.storeBudget(), 0);
      shares.put(host, share);
      byHost.put(host, new PlacementScheduler((LoadPermits) share, contender.loadOrder()));
    }
    schedulers.addAll(contender.hasOneStoreQueue() ? List.of(common) : byHost.values());
    return byHost;
  }

  private ReplayEngine createEngine(Engine engine, PlacementScheduler scheduler, long seed) {
    GrantTable grants = new GrantTable();
    EngineFake simulated =
        new EngineFake(workload.engine(), time, request -> returnCompleted(request, engine.id()));
    EndpointPlacement placement =
        new EndpointPlacement(
            engine,
            contender.placementSettings(workload, engine.zone()),
            contender.eviction(),
            contender.loadOrder(),
            version -> grants.mayEvict(version, time.nowMillis()),
            new SplittableRandom(seed + engine.id().value().hashCode()));
    scheduler.own(placement);
    lives.put(engine.id(), 0);
    return new ReplayEngine(
        engine, simulated, grants, placement, scheduler, new EngineAnnouncer(placement, 1));
  }

  private void tick() {
    for (ReplayEngine engine : engines.values()) {
      if (!engine.fake().isLost()) {
        announce(engine);
      }
    }
    schedulers.forEach(scheduler -> carryOut(scheduler.advance(time.nowMillis())));
    shares.forEach(
        (host, share) -> share.messages(time.nowMillis()).forEach(message -> send(host, message)));
    for (ReplayGateway gateway : gateways.values()) {
      if (!gateway.isLost()) {
        gateway.expire();
        gateway.pump();
      }
    }
  }

  private void announce(ReplayEngine engine) {
    engine
        .announcer()
        .due(engine.fake().running(), engine.fake().queued(), false, time.nowMillis())
        .ifPresent(
            announcement ->
                gateways.values().stream()
                    .filter(gateway -> !gateway.isLost())
                    .forEach(
                        gateway ->
                            time.after(
                                REPORT_LAG_MILLIS
                                    + ReplayTopology.latencyMillis(
                                        engine.engine().zone(), gateway.zone()),
                                () -> gateway.announced(announcement))));
  }

  private void send(HostId from, AddressedMessage message) {
    time.after(
        1,
        () -> {
          StoreShare recipient = shares.get(message.recipient());
          if (!gateways.get(message.recipient()).isLost() && !gateways.get(from).isLost()) {
            recipient
                .receive(message.message(), time.nowMillis())
                .ifPresent(answer -> send(message.recipient(), answer));
          }
        });
  }

  private void carryOut(List<EndpointCommand> commands) {
    for (EndpointCommand addressed : commands) {
      ReplayEngine engine = engines.get(addressed.endpoint());
      PlacementCommand command = addressed.command();
      if (command instanceof PlacementCommand.StartLoad load) {
        startLoad(engine, load.version());
      } else if (command instanceof PlacementCommand.StartUnload unload) {
        startUnload(engine, unload.version());
      } else if (command instanceof PlacementCommand.Permit permit) {
        engine.grants().grant(permit.gateway(), permit.version(), time.nowMillis());
        toGateway(
            engine,
            permit.gateway(),
            gateway -> gateway.permit(addressed.endpoint(), permit.version()));
      } else if (command instanceof PlacementCommand.Decline decline) {
        toGateway(
            engine,
            decline.gateway(),
            gateway -> gateway.decline(addressed.endpoint(), decline.version()));
      }
    }
  }

  private void startLoad(ReplayEngine engine, AdapterVersion version) {
    EndpointId endpoint = engine.engine().id();
    int incarnation = lives.get(endpoint);
    measures.loadStarted(engine.engine().zone(), workload.adapterBytes());
    store.load(
        succeeded -> {
          if (lives.get(endpoint) != incarnation) {
            return;
          }
          carryOut(
              succeeded
                  ? engine.scheduler().loaded(endpoint, version, time.nowMillis())
                  : engine.scheduler().loadFailed(endpoint, version, time.nowMillis()));
        });
  }

  private void startUnload(ReplayEngine engine, AdapterVersion version) {
    EndpointId endpoint = engine.engine().id();
    int incarnation = lives.get(endpoint);
    time.after(
        UNLOAD_MILLIS,
        () -> {
          if (lives.get(endpoint) == incarnation) {
            carryOut(engine.scheduler().unloaded(endpoint, version, time.nowMillis()));
          }
        });
  }

  private void returnCompleted(ReplayRequest request, EndpointId endpoint) {
    ReplayEngine engine = engines.get(endpoint);
    ReplayGateway gateway = gateways.get(request.id().incarnation().host());
    engine.grants().release(gateway.host(), request.classified().version(), time.nowMillis());
    toGateway(engine, gateway.host(), recipient -> recipient.completed(request));
  }

  private void returnDropped(ReplayRequest request, EndpointId endpoint) {
    ReplayGateway gateway = gateways.get(request.id().incarnation().host());
    time.after(
        DETECTION_MILLIS,
        () -> {
          if (!gateway.isLost()) {
            gateway.dropped(request, endpoint);
          }
        });
  }

  private void loseGateway(ReplayGateway gateway) {
    gateway.lose();
    engines.values().forEach(engine -> engine.grants().dropGateway(gateway.host()));
  }

  private void loseEngine(ReplayEngine engine) {
    EndpointId endpoint = engine.engine().id();
    lives.merge(endpoint, 1, Integer::sum);
    List<ReplayRequest> dropped = engine.fake().lose();
    engine.scheduler().restarted(endpoint, time.nowMillis());
    engine.scheduler().disown(endpoint);
    dropped.forEach(request -> returnDropped(request, endpoint));
    time.after(
        DETECTION_MILLIS,
        () ->
            gateways.values().stream()
                .filter(gateway -> !gateway.isLost())
                .forEach(gateway -> gateway.suspect(endpoint)));
  }

  private void toEngine(ReplayGateway gateway, EndpointId endpoint, Consumer<ReplayEngine> action) {
    ReplayEngine engine = engines.get(endpoint);
    time.after(
        ReplayTopology.latencyMillis(gateway.zone(), engine.engine().zone()),
        () -> {
          if (!engine.fake().isLost()) {
            action.accept(engine);
          }
        });
  }

  private void toGateway(ReplayEngine engine, HostId host, Consumer<ReplayGateway> action) {
    ReplayGateway gateway = gateways.get(host);
    time.after(
        ReplayTopology.latencyMillis(engine.engine().zone(), gateway.zone()),
        () -> {
          if (!gateway.isLost()) {
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
