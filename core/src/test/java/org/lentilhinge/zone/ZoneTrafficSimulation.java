package org.lentilhinge.zone;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.demand.AdapterLoad;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ZoneDistances;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.permit.EngineSelector;
import org.lentilhinge.permit.EngineStatus;

/**
 * Zones with engines and hosts in virtual time. Each host selects engines by the statuses, which
 * are sent every 200 ms and arrive 400 ms later, and by its zone's plan. All requests are for one
 * adapter that is loaded everywhere, so that each engine can serve each of them.
 */
final class ZoneTrafficSimulation {

  static final Map<String, String> REGIONS =
      Map.of("a", "north", "b", "north", "c", "north", "d", "south");

  private static final String SERVICE = "s";
  private static final String ADAPTER = "hot";
  private static final long STATUS_INTERVAL_MILLIS = 200;
  private static final long STATUS_AGE_MILLIS = 400;
  private static final int ENGINES_PER_ZONE = 8;

  /** The mean time that an engine takes for a request: 1,300 tokens at 22 tokens per ms. */
  private static final double SERVICE_MILLIS = 60;

  /** The longest wait for one engine: a third of a target of about a second. */
  private static final double MAXIMUM_WAIT_MILLIS = 335;

  private static final int MAXIMUM_ATTEMPTS = 3;

  private final Random random = new Random(7);
  private final List<FleetEndpoint> engines = new ArrayList<>();
  private final Map<String, Double> busyUntil = new HashMap<>();
  private final Map<String, List<Host>> hosts = new TreeMap<>();
  private final Map<String, Double> demand = new HashMap<>();
  private final Map<String, Double> arrivals = new HashMap<>();
  private final Deque<Batch> batches = new ArrayDeque<>();
  private final Set<String> cutOff = new HashSet<>();
  private final Map<String, Integer> sent = new TreeMap<>();
  private final Map<String, Double> waits = new TreeMap<>();
  private final Map<String, Integer> received = new TreeMap<>();
  private final Map<String, Integer> refused = new TreeMap<>();
  private final boolean planned;
  private long now;

  private record Batch(long arrivesAtMillis, List<EngineStatus> statuses) {}

  private final class Host {
    private final EngineSelector selector = new EngineSelector();
    private final ZoneTrafficPlanner planner;
    private final ZoneDistances distances;
    private final ZonePrices prices;
    private ZoneTrafficPlan plan;

    private Host(String zone) {
      planner = new ZoneTrafficPlanner(zone, REGIONS);
      distances = new ZoneDistances(zone, REGIONS.get(zone), REGIONS);
      ZoneRoundTrips roundTrips = new ZoneRoundTrips();
      prices =
          ZonePrices.of(zone, REGIONS, ZoneTrafficSettings.FREE_UNBOUNDED, distances, roundTrips);
      plan = ZoneTrafficPlan.unrestricted(zone, prices);
    }

    private Optional<FleetEndpoint> select(long hash, Set<String> excluded) {
      if (planner.isDue(now)) {
        plan =
            planner.update(
                engines.stream()
                    .map(engine -> EngineRoom.of(engine.zone(), status(engine)))
                    .toList(),
                prices,
                now);
      }
      return selector.select(
          engines,
          excluded,
          ADAPTER,
          planned ? new RequestZones(plan, 10_000, hash, zone -> true) : distances,
          engine -> cutOff.contains(engine.zone()) != cutOff.contains(plan.zone()) ? 1_000 : 0,
          hash,
          now);
    }

    private Optional<EngineStatus> status(FleetEndpoint engine) {
      return selector.status(engine.incarnation(), EngineRoom.MAXIMUM_STATUS_AGE_MILLIS, now);
    }
  }

  ZoneTrafficSimulation(int hostsPerZone, boolean planned) {
    this.planned = planned;
    for (String zone : new TreeMap<>(REGIONS).keySet()) {
      for (int index = 0; index < ENGINES_PER_ZONE; index++) {
        FleetEndpoint engine = engine(zone + index, zone);
        engines.add(engine);
        busyUntil.put(engine.incarnation(), 0.0);
      }
      List<Host> ofZone = new ArrayList<>();
      for (int index = 0; index < hostsPerZone; index++) {
        ofZone.add(new Host(zone));
      }
      hosts.put(zone, ofZone);
      setDemand(zone, 0.3);
    }
  }

  private static FleetEndpoint engine(String id, String zone) {
    return new FleetEndpoint(
        id,
        1,
        SERVICE,
        "10.0.0.1:80",
        zone,
        EndpointState.READY,
        0,
        new StoreRevision(0, 1),
        List.of("m"),
        "v1",
        6);
  }

  /** Sets the demand of a zone, as a part of the capacity of its engines. */
  void setDemand(String zone, double part) {
    demand.put(zone, part);
  }

  /** Cuts a zone off from all others. */
  void cutOff(String zone) {
    cutOff.add(zone);
  }

  /** Runs for some time, after which only the last part of it is in the figures. */
  void run(long durationMillis) {
    sent.clear();
    waits.clear();
    received.clear();
    refused.clear();
    for (long end = now + durationMillis; now < end; now++) {
      if (now % STATUS_INTERVAL_MILLIS == 0) {
        batches.add(new Batch(now + STATUS_AGE_MILLIS, statuses()));
      }
      while (!batches.isEmpty() && batches.peek().arrivesAtMillis() <= now) {
        deliver(batches.poll().statuses());
      }
      demand.forEach(this::arrive);
    }
  }

  private List<EngineStatus> statuses() {
    return engines.stream()
        .map(
            engine ->
                new EngineStatus(
                        engine.incarnation(),
                        true,
                        List.of(ADAPTER),
                        Math.max(0, Math.round(busyUntil.get(engine.incarnation()) - now)),
                        3,
                        0)
                    .withLoads(List.of(new AdapterLoad(ADAPTER, 6, 0.5).withService(SERVICE))))
        .toList();
  }

  private void deliver(List<EngineStatus> statuses) {
    hosts.forEach(
        (zone, ofZone) -> {
          for (EngineStatus status : statuses) {
            String from = status.incarnation().substring(0, 1);
            if (cutOff.contains(from) == cutOff.contains(zone)) {
              ofZone.forEach(host -> host.selector.updateStatus("h" + from, status, now));
            }
          }
        });
  }

  private void arrive(String zone, double part) {
    double count = arrivals.getOrDefault(zone, 0.0) + part * ENGINES_PER_ZONE / SERVICE_MILLIS;
    while (count >= 1) {
      count--;
      send(zone);
    }
    arrivals.put(zone, count);
  }

  private void send(String zone) {
    List<Host> ofZone = hosts.get(zone);
    Host host = ofZone.get(random.nextInt(ofZone.size()));
    long hash = random.nextLong();
    Set<String> refusing = new HashSet<>();
    for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      FleetEndpoint engine = host.select(hash, refusing).orElseThrow();
      sent.merge(zone + engine.zone(), 1, Integer::sum);
      double waitMillis = Math.max(0, busyUntil.get(engine.incarnation()) - now);
      double serviceMillis = SERVICE_MILLIS * (0.5 + random.nextDouble());
      host.selector.recordRequest(engine.incarnation(), ADAPTER, (int) (serviceMillis * 22));
      boolean reached = cutOff.contains(zone) == cutOff.contains(engine.zone());
      if (reached && waitMillis <= MAXIMUM_WAIT_MILLIS) {
        busyUntil.put(engine.incarnation(), now + waitMillis + serviceMillis);
        waits.merge(engine.zone(), waitMillis, Double::sum);
        received.merge(engine.zone(), 1, Integer::sum);
        return;
      }
      refusing.add(engine.incarnation());
    }
    refused.merge(zone, 1, Integer::sum);
  }

  /** Returns how many requests of a zone were refused by all engines that they were sent to. */
  int refused(String zone) {
    return refused.getOrDefault(zone, 0);
  }

  /** Returns how many requests of a zone were sent to another in the last run. */
  int sent(String from, String to) {
    return sent.getOrDefault(from + to, 0);
  }

  /** Returns the mean wait of the requests that a zone's engines received in the last run. */
  double meanWaitMillis(String zone) {
    return waits.getOrDefault(zone, 0.0) / Math.max(1, received.getOrDefault(zone, 0));
  }

  /** Returns the plan of a zone's first host. */
  ZoneTrafficPlan plan(String zone) {
    return hosts.get(zone).get(0).plan;
  }
}
