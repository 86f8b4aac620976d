package org.lentilhinge.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.configuration.StoreBudget;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.routing.SampleFleet;
import org.lentilhinge.store.AddressedMessage;
import org.lentilhinge.store.StoreBudgetShare;

/**
 * Simulates two owners with one engine each in each of three zones, under random events from a
 * seed.
 */
final class VirtualOwners {

  private static final int SLOTS = 3;
  private static final int VERSIONS = 12;
  private static final double LOADS_PER_SECOND = 0.6;
  private static final int LOADS_IN_FLIGHT = 8;
  private static final long WINDOW_MILLIS = 10_000;
  private static final HostId GATEWAY = new HostId("gateway");

  private record Load(EndpointId endpoint, AdapterVersion version) {}

  private record RunningLoad(Load load, long startedMillis) {}

  private final SplittableRandom random;
  private final Map<HostId, StoreBudgetShare> shares = new LinkedHashMap<>();
  private final Map<EndpointId, PlacementScheduler> schedulers = new LinkedHashMap<>();
  private final Map<EndpointId, Set<AdapterVersion>> occupied = new HashMap<>();
  private final Map<EndpointId, Set<AdapterVersion>> pinned = new HashMap<>();
  private final List<RunningLoad> loads = new ArrayList<>();
  private final List<Load> unloads = new ArrayList<>();
  private final Deque<Long> starts = new ArrayDeque<>();
  private final Set<Load> unansweredRequests = new HashSet<>();
  private final Set<HostId> partitionedHosts = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private long nowMillis;

  VirtualOwners(long seed) {
    this.random = new SplittableRandom(seed);
    Map<ZoneId, Integer> zoneShares = new LinkedHashMap<>();
    List.of("a", "b", "c").forEach(zone -> zoneShares.put(new ZoneId(zone), 1));
    StoreBudget budget = new StoreBudget(LOADS_PER_SECOND, LOADS_IN_FLIGHT, zoneShares);
    for (ZoneId zone : zoneShares.keySet()) {
      List<HostId> hosts = List.of(new HostId(zone + "1"), new HostId(zone + "2"));
      for (HostId host : hosts) {
        StoreBudgetShare share = new StoreBudgetShare(host, zone, hosts, budget, 0);
        shares.put(host, share);
        addOwner(new PlacementScheduler(share, new WaitTimeRanking()), host.value(), zone.value());
      }
    }
  }

  List<String> violations() {
    return violations;
  }

  List<String> unanswered() {
    return unansweredRequests.stream().map(Load::toString).sorted().toList();
  }

  void step() {
    nowMillis += random.nextInt(400);
    failLateLoads();
    switch (random.nextInt(8)) {
      case 0, 1, 2 -> request();
      case 3 -> endLoad(random.nextInt(3) > 0);
      case 4 -> endUnload(random.nextInt(4) > 0);
      case 5 -> togglePin();
      case 6 -> togglePartition();
      default -> restart();
    }
    exchange();
    schedulers.values().forEach(scheduler -> carryOut(scheduler.advance(nowMillis)));
    checkBudget();
  }

  /** Advances the time without faults until every request must have been answered. */
  void settle() {
    pinned.values().forEach(Set::clear);
    for (int round = 0; round < 100; round++) {
      nowMillis += 250;
      endLoad(true);
      endUnload(true);
      exchange();
      schedulers.values().forEach(scheduler -> carryOut(scheduler.advance(nowMillis)));
      checkBudget();
    }
  }

  private void addOwner(PlacementScheduler scheduler, String name, String zone) {
    Engine engine = SampleFleet.engine(name + "-engine", zone, SLOTS);
    occupied.put(engine.id(), new HashSet<>());
    pinned.put(engine.id(), new HashSet<>());
    scheduler.acquire(
        new EndpointPlacement(
            engine,
            PlacementSettings.DEFAULTS,
            new LeastPopularEviction(PlacementSettings.DEFAULTS.minimumResidencyMillis()),
            new WaitTimeRanking(),
            version -> !pinned.get(engine.id()).contains(version),
            random.split()));
    schedulers.put(engine.id(), scheduler);
  }

  private void request() {
    EndpointId endpoint = anyEndpoint();
    AdapterVersion version = SampleFleet.version("adapter-" + random.nextInt(VERSIONS));
    unansweredRequests.add(new Load(endpoint, version));
    LoadRequest request = new LoadRequest(GATEWAY, version, Urgency.NORMAL, 1);
    carryOut(schedulers.get(endpoint).request(endpoint, request, nowMillis));
  }

  private void endLoad(boolean succeeds) {
    if (!loads.isEmpty()) {
      endLoad(loads.remove(random.nextInt(loads.size())).load(), succeeds);
    }
  }

  private void endLoad(Load load, boolean succeeds) {
    PlacementScheduler scheduler = schedulers.get(load.endpoint());
    if (succeeds) {
      carryOut(scheduler.onLoaded(load.endpoint(), load.version(), nowMillis));
    } else {
      occupied.get(load.endpoint()).remove(load.version());
      carryOut(scheduler.onLoadFailed(load.endpoint(), load.version(), nowMillis));
    }
  }

  private void failLateLoads() {
    for (RunningLoad load : List.copyOf(loads)) {
      if (nowMillis - load.startedMillis() >= StoreBudgetShare.LOAD_TIMEOUT_MILLIS) {
        loads.remove(load);
        endLoad(load.load(), false);
      }
    }
  }

  private void endUnload(boolean succeeds) {
    if (unloads.isEmpty()) {
      return;
    }
    Load unload = unloads.remove(random.nextInt(unloads.size()));
    PlacementScheduler scheduler = schedulers.get(unload.endpoint());
    if (succeeds) {
      occupied.get(unload.endpoint()).remove(unload.version());
      carryOut(scheduler.onUnloaded(unload.endpoint(), unload.version(), nowMillis));
    } else {
      carryOut(scheduler.onUnloadFailed(unload.endpoint(), unload.version(), nowMillis));
    }
  }

  private void togglePin() {
    EndpointId endpoint = anyEndpoint();
    List<AdapterVersion> resident = residentOf(endpoint).stream().sorted().toList();
    if (!resident.isEmpty()) {
      AdapterVersion version = resident.get(random.nextInt(resident.size()));
      if (!pinned.get(endpoint).remove(version)) {
        pinned.get(endpoint).add(version);
      }
    }
  }

  private void togglePartition() {
    HostId host = List.copyOf(shares.keySet()).get(random.nextInt(shares.size()));
    if (!partitionedHosts.remove(host)) {
      partitionedHosts.add(host);
    }
  }

  private void restart() {
    EndpointId endpoint = anyEndpoint();
    loads.removeIf(running -> running.load().endpoint().equals(endpoint));
    unloads.removeIf(unload -> unload.endpoint().equals(endpoint));
    occupied.get(endpoint).clear();
    pinned.get(endpoint).clear();
    carryOut(schedulers.get(endpoint).onRestarted(endpoint, nowMillis));
  }

  private void exchange() {
    for (HostId host : shares.keySet()) {
      shares.get(host).messages(nowMillis).forEach(message -> deliver(host, message));
    }
  }

  private void deliver(HostId from, AddressedMessage message) {
    if (partitionedHosts.contains(from) || partitionedHosts.contains(message.recipient())) {
      return;
    }
    shares
        .get(message.recipient())
        .onMessage(message.message(), nowMillis)
        .ifPresent(answer -> deliver(message.recipient(), answer));
  }

  private void carryOut(List<EndpointCommand> commands) {
    for (EndpointCommand addressed : commands) {
      EndpointId endpoint = addressed.endpoint();
      Load load = new Load(endpoint, addressed.command().version());
      if (addressed.command() instanceof PlacementCommand.StartLoad) {
        startLoad(load);
      } else if (addressed.command() instanceof PlacementCommand.StartUnload) {
        unloads.add(load);
        recordViolationIf(
            pinned.get(endpoint).contains(load.version()), "evicted while in use: " + load);
      } else {
        unansweredRequests.remove(load);
      }
    }
  }

  private void startLoad(Load load) {
    loads.add(new RunningLoad(load, nowMillis));
    starts.addLast(nowMillis);
    occupied.get(load.endpoint()).add(load.version());
    recordViolationIf(
        occupied.get(load.endpoint()).size() > SLOTS, "adapter slots exceeded: " + load);
  }

  private void checkBudget() {
    while (!starts.isEmpty() && starts.peekFirst() < nowMillis - WINDOW_MILLIS) {
      starts.removeFirst();
    }
    double maximumStarts = LOADS_PER_SECOND * WINDOW_MILLIS / 1000 + LOADS_IN_FLIGHT;
    recordViolationIf(starts.size() > maximumStarts, starts.size() + " loads started in 10 s");
    recordViolationIf(loads.size() > LOADS_IN_FLIGHT, loads.size() + " loads in flight");
  }

  private Set<AdapterVersion> residentOf(EndpointId endpoint) {
    return schedulers.get(endpoint).placement(endpoint).orElseThrow().resident();
  }

  private EndpointId anyEndpoint() {
    return List.copyOf(schedulers.keySet()).get(random.nextInt(schedulers.size()));
  }

  private void recordViolationIf(boolean violated, String violation) {
    if (violated) {
      violations.add(violation);
    }
  }
}
