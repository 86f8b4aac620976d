package org.lentilhinge.runtime.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.overlay.RelaySelector;
import org.lentilhinge.permit.AdapterOrder;

/**
 * The hosts of several zones and the engines that they own, in virtual time. The hosts are the real
 * classes and are reached only through messages, calls of engines and of the store, and ticks.
 */
final class OwnershipSimulation extends VirtualTimeSimulation {

  static final String SERVICE = "s";

  private static final ForwardSettings.Bounds BOUNDS =
      new ForwardSettings.Bounds(8_000, 3_000, 0.2, 56, 10_000);

  /** The time after a thaw or the repair of a link in which orders are not judged. */
  private static final long SLACK_MILLIS = 300;

  private static final int ADAPTERS = 30;
  private static final int SEEDS = 3;

  private final Random random;
  private final Function<String, EventLog> logs;
  private final SimulatedNetwork network;
  private final SimulatedStore store;
  private final Map<String, ForwardSettings> settings = new LinkedHashMap<>();
  private final Map<String, SimulatedHost> hosts = new TreeMap<>();
  private final Map<String, SimulatedEngine> engines = new TreeMap<>();
  private final Map<String, Long> idleUntilMillis = new HashMap<>();
  private final OrderArrivals arrivals = new OrderArrivals(BOUNDS.leaseMillis());
  private final OrderArrivals obeyedArrivals = new OrderArrivals(BOUNDS.leaseMillis());
  private boolean idleSpells = true;
  private double lateTickShare;
  private Silence silence = Silence.NONE;

  /**
   * The calls that some engines leave unanswered.
   *
   * @param engines the engines
   * @param orderShare the share of unanswered orders
   * @param processedShare the share of these orders that the engine processes nevertheless
   * @param reportShare the share of unanswered reads of reports
   */
  record Silence(
      Set<String> engines, double orderShare, double processedShare, double reportShare) {

    static final Silence NONE = new Silence(Set.of(), 0, 0, 0);

    private boolean covers(String engine) {
      return engines.contains(engine);
    }
  }

  /**
   * Creates zones whose hosts are not started yet.
   *
   * @param zoneSizes the number of hosts of each zone; neighboring zones are in different regions
   * @param engineCount the number of engines, which are spread over the zones
   * @param seed the seed of all random decisions
   * @param logs creates the log of a host
   */
  OwnershipSimulation(
      List<Integer> zoneSizes, int engineCount, long seed, Function<String, EventLog> logs) {
    random = new Random(seed);
    this.logs = logs;
    network = new SimulatedNetwork(this, random);
    store = new SimulatedStore(this, engines.values(), random);
    network.addNode(SimulatedStore.NAME, region(0));
    addHosts(zoneSizes);
    for (int index = 0; index < engineCount; index++) {
      int zone = index % zoneSizes.size();
      String id = "e" + index;
      SimulatedEngine engine =
          new SimulatedEngine(id, zone(zone), 0, new Random(random.nextLong()));
      engines.put(id, engine);
      network.addNode(id, region(zone));
      store.register(engine);
    }
  }

  private static String zone(int index) {
    return "z" + index;
  }

  private static String region(int zone) {
    return zone % 2 == 0 ? "north" : "south";
  }

  private void addHosts(List<Integer> zoneSizes) {
    Map<String, String> regions = new HashMap<>();
    List<String> names = new ArrayList<>();
    List<Integer> zones = new ArrayList<>();
    for (int zone = 0; zone < zoneSizes.size(); zone++) {
      regions.put(zone(zone), region(zone));
      for (int index = 0; index < zoneSizes.get(zone); index++) {
        names.add("10." + (zone + 1) + ".0." + (index + 1));
        zones.add(zone);
      }
    }
    List<String> seeds = new ArrayList<>();
    for (int zone = 0; seeds.size() < SEEDS; zone++) {
      seeds.add("10." + (zone % zoneSizes.size() + 1) + ".0." + (zone / zoneSizes.size() + 1));
    }
    List<String> seedAddresses = seeds.stream().map(name -> name + ":8144").toList();
    for (int index = 0; index < names.size(); index++) {
      String name = names.get(index);
      int zone = zones.get(index);
      network.addNode(name, region(zone));
      settings.put(
          name,
          new ForwardSettings(
              name,
              zone(zone),
              region(zone),
              regions,
              name + ":80",
              name + ":81",
              "/ready",
              name + ":8144",
              "secret",
              seedAddresses,
              "store:80",
              0,
              BOUNDS,
              Optional.empty()));
    }
  }

  /** Returns the names of all hosts, whether they run or not. */
  List<String> hostNames() {
    return List.copyOf(settings.keySet());
  }

  /** Returns the names of the hosts of a zone. */
  List<String> hostNames(String zone) {
    return settings.values().stream()
        .filter(host -> host.zone().equals(zone))
        .map(ForwardSettings::host)
        .toList();
  }

  /** Returns the names of the zones. */
  List<String> zones() {
    return settings.values().stream().map(ForwardSettings::zone).distinct().toList();
  }

  String zoneOf(String host) {
    return settings.get(host).zone();
  }

  String regionOf(String host) {
    return settings.get(host).region();
  }

  List<String> engineNames() {
    return List.copyOf(engines.keySet());
  }

  SimulatedEngine engine(String id) {
    return engines.get(id);
  }

  SimulatedNetwork network() {
    return network;
  }

  SimulatedStore store() {
    return store;
  }

  /** Returns the judge of all orders, also of those that an engine refused. */
  OrderArrivals arrivals() {
    return arrivals;
  }

  /** Returns the judge of the orders that engines did not refuse for their counts. */
  OrderArrivals obeyedArrivals() {
    return obeyedArrivals;
  }

  /** Returns the relay of a zone for messages of a host while all hosts are live. */
  String relay(String sender, String zone) {
    List<HostRecord> others =
        hostNames().stream().filter(name -> !name.equals(sender)).map(this::record).toList();
    List<String> members = hostNames(zone);
    return new RelaySelector(record(sender))
        .select(others, host -> true).stream()
            .map(RelaySelector.Target::host)
            .filter(members::contains)
            .findFirst()
            .orElseThrow();
  }

  private HostRecord record(String host) {
    return new HostRecord(host, zoneOf(host), regionOf(host), 1, 1, false);
  }

  /** Starts all hosts within 0.3 s of each other. */
  void startAll() {
    hostNames().forEach(name -> schedule(random.nextInt(300), () -> start(name)));
  }

  /** Starts the process of a host, unless it runs. */
  void start(String name) {
    SimulatedHost former = hosts.get(name);
    if (former == null || !former.isRunning()) {
      SimulatedHost host =
          new SimulatedHost(
              this, settings.get(name), logs.apply(name), new Random(random.nextLong()));
      hosts.put(name, host);
      network.connect(host);
      host.start();
    }
  }

  /** Ends the process of a host. */
  void kill(String name) {
    SimulatedHost host = hosts.get(name);
    if (host != null && host.isRunning()) {
      host.end();
      network.reset(name);
    }
  }

  /** Returns the process of a host, if one was started. */
  Optional<SimulatedHost> host(String name) {
    return Optional.ofNullable(hosts.get(name));
  }

  /** Stops a host as planned, and starts it again. */
  void stopAndStart(String name, long stopMillis, long downMillis) {
    host(name).ifPresent(host -> host.leave(stopMillis));
    schedule(stopMillis, () -> kill(name));
    schedule(stopMillis + downMillis, () -> start(name));
  }

  /** Kills a host and starts it again. */
  void killAndStart(String name, long downMillis) {
    kill(name);
    schedule(downMillis, () -> start(name));
  }

  /** Has some ticks of all hosts come 0.5 s late. */
  void delayTicks(double share) {
    lateTickShare = share;
  }

  long tickDelayMillis() {
    return isOneOf(lateTickShare) ? 500 : 0;
  }

  long connectionMillis() {
    return random.nextInt(4);
  }

  /** Has engines leave calls unanswered. */
  void silence(Silence next) {
    silence = next;
  }

  void runUntil(long endMillis) {
    runEventsUntil(endMillis);
  }

  void at(long millis, Runnable task) {
    schedule(millis - now(), task);
  }

  /** Judges an order at its engine, and returns the response if there is one. */
  Optional<OrderResult> arrive(
      SimulatedHost host, FleetEndpoint addressed, AdapterOrder order, long expected, long token) {
    SimulatedEngine engine = engines.get(addressed.id());
    boolean unanswered = silence.covers(engine.id()) && isOneOf(silence.orderShare());
    boolean processed = !unanswered || isOneOf(silence.processedShare());
    long formerCount = engine.acceptedOrders();
    OrderResult result =
        processed ? engine.order(addressed, order, expected, now()) : OrderResult.UNKNOWN;
    long sinceThaw = now() - host.thawedAtMillis();
    long sinceRepair = now() - network.healedAtMillis(host.name());
    boolean exempt = (sinceThaw >= 0 && sinceThaw <= SLACK_MILLIS) || sinceRepair <= SLACK_MILLIS;
    if (!exempt) {
      boolean counted = engine.acceptedOrders() != formerCount;
      OrderArrivals.Arrival arrival =
          new OrderArrivals.Arrival(now(), engine.id(), host.name(), token, result, counted);
      arrivals.record(arrival);
      if (result != OrderResult.CONFLICT) {
        obeyedArrivals.record(arrival);
      }
    }
    return unanswered ? Optional.empty() : Optional.of(result);
  }

  /** Returns the report of an engine if it responds. */
  Optional<EngineReport> report(String engine) {
    return silence.covers(engine) && isOneOf(silence.reportShare())
        ? Optional.empty()
        : Optional.of(engines.get(engine).report(now()));
  }

  private boolean isOneOf(double share) {
    return random.nextDouble() < share;
  }

  /** Starts requests from any hosts for adapters of each engine, with idle spells of 5 to 20 s. */
  void startLoad() {
    for (String engine : engines.keySet()) {
      schedule(random.nextInt(300), () -> requestFromAny(engine));
    }
  }

  private void requestFromAny(String engine) {
    boolean idle = now() < idleUntilMillis.getOrDefault(engine, 0L);
    if (!idle) {
      request(engine, hostNames().get(random.nextInt(settings.size())));
      if (idleSpells && random.nextInt(25) == 0) {
        idleUntilMillis.put(engine, now() + 5_000 + random.nextInt(15_000));
      }
    }
    schedule(50 + random.nextInt(350), () -> requestFromAny(engine));
  }

  /** Ends the idle spells of all engines and begins no other. */
  void endIdleSpells() {
    idleSpells = false;
    idleUntilMillis.clear();
  }

  /** Has a host request a permit for an adapter of an engine. */
  void request(String engine, String host) {
    host(host)
        .filter(SimulatedHost::isRunning)
        .ifPresent(process -> process.request(engine, "a" + random.nextInt(ADAPTERS)));
  }

  /** Returns the engines of which no order has arrived since a time. */
  List<String> enginesWithoutOrder(long sinceMillis) {
    return engines.keySet().stream()
        .filter(engine -> !arrivals.hasArrivalSince(engine, sinceMillis))
        .toList();
  }
}
