package org.lentilhinge.emulator.fleet;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.configuration.Deduplication;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.emulator.engine.EngineServer;
import org.lentilhinge.emulator.engine.EngineSettings;
import org.lentilhinge.emulator.engine.FixedDelayStepTimer;
import org.lentilhinge.emulator.platform.ConfigurationServer;
import org.lentilhinge.emulator.platform.HostListServer;
import org.lentilhinge.emulator.platform.WeightStore;
import org.lentilhinge.emulator.service.ServiceServer;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.host.EntryHostServer;
import org.lentilhinge.runtime.host.HostEnvironment;
import org.lentilhinge.runtime.platform.HostListing;
import org.lentilhinge.runtime.settings.GatewaySettings;
import org.lentilhinge.runtime.settings.HostSettings;
import org.lentilhinge.runtime.settings.LimitSettings;
import org.lentilhinge.runtime.settings.LogFormat;
import org.lentilhinge.runtime.settings.LogLevel;
import org.lentilhinge.runtime.settings.LogSettings;
import org.lentilhinge.runtime.settings.PeerSettings;
import org.lentilhinge.runtime.settings.PlatformSettings;
import org.lentilhinge.runtime.settings.Settings;
import org.lentilhinge.runtime.settings.StopSettings;

/** Runs entry hosts with emulated engines, service and platform on loopback ports. */
public final class LoopbackFleet {

  /** The API key of the caller that sends survey notes and books work orders. */
  public static final String SURVEY_KEY = "waterworks-key";

  /** The key under which the configuration is published. */
  public static final String CONFIGURATION_KEY = "configuration";

  private static final String LOOPBACK = "127.0.0.1:";
  private static final String SECRET = "loopback-fleet-secret";
  private static final String SERVICE = "orders-sofia-1";
  private static final int ADAPTER_SLOTS = 2;
  private static final int BATCH_SLOTS = 16;
  private static final int LOADS_PER_SECOND = 3;
  private static final int LOADS_AT_FULL_SPEED = 8;
  private static final long REPORT_LAG_MILLIS = 200;
  private static final int HEADER_BYTES = 16_384;
  private static final int BODY_BYTES = 1_048_576;
  private static final int FRAME_BYTES = 2_097_152;
  private static final int MAXIMUM_CONCURRENT_REQUESTS = 2_000;
  private static final long IDLE_MILLIS = 60_000;

  private final Vertx vertx;
  private final FleetSettings settings;
  private final DecisionLog decisions;
  private final MetricRegistry metrics = new MetricRegistry();
  private final WeightStore weights;
  private final ConfigurationServer configurations;
  private final HostListServer hostList;
  private final ServiceServer service;
  private final Map<String, EngineServer> engines = new TreeMap<>();
  private final Map<HostId, EntryHostServer> hosts = new LinkedHashMap<>();
  private final Map<HostId, ZoneId> zones = new LinkedHashMap<>();
  private String configuration = "";
  private int configurationPort;
  private int hostListPort;
  private int gatewayPort;

  /**
   * Creates a fleet that is not started yet.
   *
   * @param vertx the Vert.x instance that runs the fleet
   * @param settings the fleet's size and timing
   * @param decisions the log of the hosts' decisions
   */
  public LoopbackFleet(Vertx vertx, FleetSettings settings, DecisionLog decisions) {
    this.vertx = vertx;
    this.settings = settings;
    this.decisions = decisions;
    this.gatewayPort = settings.firstGatewayPort();
    this.weights =
        new WeightStore(
            LOADS_PER_SECOND, LOADS_AT_FULL_SPEED, settings.loadMillis(), Schedulers.computation());
    this.configurations = new ConfigurationServer(vertx);
    this.hostList = new HostListServer(vertx);
    this.service = new ServiceServer(vertx, Deduplication.NONE);
  }

  /** Starts the emulators and then the hosts, and waits until all of them listen. */
  public void start() {
    Map<String, String> addresses = new TreeMap<>();
    startEngine("engine-sofia-1a", FencingSupport.CHECKED, addresses);
    startEngine("engine-sofia-2a", FencingSupport.IGNORED, addresses);
    startEngine("engine-plovdiv-1a", FencingSupport.CHECKED, addresses);
    addresses.put(SERVICE, LOOPBACK + service.start(0).blockingGet());
    configurationPort = configurations.start(0).blockingGet();
    hostListPort = hostList.start(0).blockingGet();
    publish(FleetConfiguration.load(addresses));
    settings.hosts().entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(entry -> startHosts(entry.getKey(), entry.getValue()));
    publishHosts();
  }

  /** Stops all hosts and emulators without a drain. */
  public void stop() {
    Completable.merge(hosts.values().stream().map(EntryHostServer::kill).toList()).blockingAwait();
    engines.values().forEach(engine -> engine.stop().blockingAwait());
    service.stop().blockingAwait();
    configurations.stop().blockingAwait();
    hostList.stop().blockingAwait();
  }

  /**
   * Publishes a configuration.
   *
   * @param text the text
   */
  public void publish(String text) {
    configuration = text;
    configurations.publish(CONFIGURATION_KEY, text);
  }

  /**
   * Returns the configuration that was last published.
   *
   * @return the text
   */
  public String configuration() {
    return configuration;
  }

  /**
   * Returns the address of the configuration service.
   *
   * @return the IP address and port
   */
  public String configurationAddress() {
    return LOOPBACK + configurationPort;
  }

  /**
   * Returns the address of the host list.
   *
   * @return the IP address and port
   */
  public String hostListAddress() {
    return LOOPBACK + hostListPort;
  }

  /**
   * Publishes a list of hosts, which may run outside this fleet.
   *
   * @param listed the hosts
   */
  public void publishHosts(List<ListedHost> listed) {
    hostList.setListing(new HostListing(listed, List.of()));
  }

  /** Publishes the list of this fleet's running hosts. */
  public void publishHosts() {
    List<ListedHost> listed = new ArrayList<>();
    hosts.forEach(
        (host, server) ->
            listed.add(new ListedHost(host, zones.get(host), LOOPBACK + server.peerPort(), false)));
    publishHosts(listed);
  }

  /**
   * Starts one more host. The host list shows the host only after {@link #publishHosts}.
   *
   * @param name the host's name
   * @param zone the host's availability zone
   * @return the host
   */
  public EntryHostServer startHost(String name, ZoneId zone) {
    HostId host = new HostId(name);
    HostEnvironment environment = HostEnvironment.withSystemClocks(vertx, metrics, decisions);
    EntryHostServer server =
        EntryHostServer.start(createSettings(host, zone), environment).blockingGet();
    if (gatewayPort > 0) {
      gatewayPort++;
    }
    hosts.put(host, server);
    zones.put(host, zone);
    return server;
  }

  /**
   * Stops a host without a drain, like a crash. The host list shows the host until {@link
   * #publishHosts}.
   *
   * @param host the host
   */
  public void kill(HostId host) {
    Optional.ofNullable(hosts.remove(host)).ifPresent(server -> server.kill().blockingAwait());
  }

  /**
   * Stops a host with a drain.
   *
   * @param host the host
   * @return a Completable that completes when the host has stopped, and fails if the host needs
   *     more than twice the drain time
   */
  public Completable stop(HostId host) {
    return Optional.ofNullable(hosts.remove(host))
        .map(EntryHostServer::stop)
        .orElse(Completable.complete())
        .timeout(2 * settings.drainMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the running hosts.
   *
   * @return the hosts in the order in which they were started
   */
  public List<EntryHostServer> hosts() {
    return List.copyOf(hosts.values());
  }

  /**
   * Returns an engine.
   *
   * @param endpoint the engine's endpoint id
   * @return the engine, or empty if the fleet has no such engine
   */
  public Optional<EngineServer> engine(EndpointId endpoint) {
    return Optional.ofNullable(engines.get(endpoint.value()));
  }

  /**
   * Returns the engines.
   *
   * @return the engines in the order of their endpoint ids
   */
  public List<EngineServer> engines() {
    return List.copyOf(engines.values());
  }

  /**
   * Returns the plain service.
   *
   * @return the service
   */
  public ServiceServer service() {
    return service;
  }

  /**
   * Returns the weight store.
   *
   * @return the store
   */
  public WeightStore weights() {
    return weights;
  }

  /**
   * Returns the configuration service.
   *
   * @return the service
   */
  public ConfigurationServer configurations() {
    return configurations;
  }

  /**
   * Returns the metrics registry that all hosts share.
   *
   * @return the metrics
   */
  public MetricRegistry metrics() {
    return metrics;
  }

  private void startEngine(String name, FencingSupport fencing, Map<String, String> addresses) {
    EngineSettings engine =
        new EngineSettings(
            new EndpointId(name), ADAPTER_SLOTS, BATCH_SLOTS, fencing, REPORT_LAG_MILLIS);
    EngineServer server =
        new EngineServer(
            vertx,
            engine,
            weights::fetch,
            new FixedDelayStepTimer(vertx, settings.stepMillis()),
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    engines.put(name, server);
    addresses.put(name, LOOPBACK + server.start(0).blockingGet());
  }

  private void startHosts(ZoneId zone, int count) {
    for (int number = 0; number < count; number++) {
      startHost("entry-" + zone + (char) ('a' + number), zone);
    }
  }

  private Settings createSettings(HostId host, ZoneId zone) {
    String region = zone.value().substring(0, zone.value().lastIndexOf('-'));
    return new Settings(
        new HostSettings(host, zone, new RegionId(region)),
        new GatewaySettings(LOOPBACK + gatewayPort),
        new PeerSettings(LOOPBACK + 0, LOOPBACK + 0, Optional.of(SECRET), Optional.empty()),
        List.of(),
        new PlatformSettings(
            LOOPBACK + configurationPort,
            CONFIGURATION_KEY,
            Optional.of(LOOPBACK + hostListPort),
            "/adapters/{adapter}/{version}"),
        new LimitSettings(
            HEADER_BYTES, BODY_BYTES, MAXIMUM_CONCURRENT_REQUESTS, IDLE_MILLIS, FRAME_BYTES),
        new StopSettings(settings.drainMillis()),
        new LogSettings(LogFormat.TEXT, LogLevel.INFO));
  }
}
