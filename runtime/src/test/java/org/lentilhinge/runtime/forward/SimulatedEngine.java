package org.lentilhinge.runtime.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.permit.AdapterOrder;

/** An engine that counts the orders it accepts, and reports a state of some time ago. */
final class SimulatedEngine {

  static final String MODEL = "m";

  private static final int ADAPTER_SLOTS = 6;
  private static final int MAXIMUM_CONCURRENT_LOADS = 4;
  private static final long MAXIMUM_REPORT_AGE_MILLIS = 400;
  private static final int LOAD_MILLIS = 250;

  private final String id;
  private final String zone;
  private final Random random;
  private final Map<String, Long> adapters = new HashMap<>();
  private final Map<String, Long> loadedAtMillis = new HashMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private long startedAtMillis;
  private long acceptedOrders;
  private long reportedMillis;

  private record Snapshot(long atMillis, EngineReport report) {}

  SimulatedEngine(String id, String zone, long nowMillis, Random random) {
    this.id = id;
    this.zone = zone;
    this.random = random;
    restart(nowMillis);
  }

  String id() {
    return id;
  }

  String zone() {
    return zone;
  }

  long acceptedOrders() {
    return acceptedOrders;
  }

  /** Starts the engine again: it knows nothing of before. */
  void restart(long nowMillis) {
    startedAtMillis = nowMillis + 1;
    acceptedOrders = 0;
    adapters.clear();
    loadedAtMillis.clear();
    snapshots.clear();
    takeSnapshot(nowMillis);
  }

  /** Returns the engine's entry in the store. */
  FleetEndpoint entry(StoreRevision revision) {
    return new FleetEndpoint(
        id,
        startedAtMillis,
        OwnershipSimulation.SERVICE,
        id,
        zone,
        EndpointState.READY,
        acceptedOrders,
        revision,
        List.of(MODEL),
        "v1",
        64);
  }

  /** Carries out an order of a host that addresses one incarnation. */
  OrderResult order(FleetEndpoint addressed, AdapterOrder order, long expected, long nowMillis) {
    if (addressed.startedAtMillis() != startedAtMillis) {
      return OrderResult.MISDIRECTED;
    }
    finishLoads(nowMillis);
    OrderResult result = carryOut(order, expected, nowMillis);
    takeSnapshot(nowMillis);
    return result;
  }

  private OrderResult carryOut(AdapterOrder order, long expected, long nowMillis) {
    String adapter = order.adapter();
    if (order.load() && loadedAtMillis.containsKey(adapter)) {
      return OrderResult.ACCEPTED;
    }
    if (expected != acceptedOrders) {
      return OrderResult.CONFLICT;
    }
    boolean present = adapter.isEmpty() || adapters.containsKey(adapter);
    if (order.load() == present) {
      return OrderResult.HOLDS;
    }
    boolean full =
        order.load()
            && (loadedAtMillis.size() >= MAXIMUM_CONCURRENT_LOADS
                || loadedAtMillis.size() + adapters.size() >= ADAPTER_SLOTS);
    if (full) {
      return OrderResult.CONFLICT;
    }
    acceptedOrders++;
    if (order.load()) {
      loadedAtMillis.put(adapter, nowMillis + LOAD_MILLIS + random.nextInt(40));
      return OrderResult.ACCEPTED;
    }
    adapters.remove(adapter);
    return OrderResult.HOLDS;
  }

  private void finishLoads(long nowMillis) {
    Iterator<Map.Entry<String, Long>> loads = loadedAtMillis.entrySet().iterator();
    while (loads.hasNext()) {
      Map.Entry<String, Long> load = loads.next();
      if (load.getValue() <= nowMillis) {
        adapters.put(load.getKey(), 0L);
        loads.remove();
      }
    }
  }

  private void takeSnapshot(long nowMillis) {
    // Sorted, because the order of immutable maps differs between two runs of the same seed.
    Map<String, Long> loading = new TreeMap<>();
    loadedAtMillis.keySet().forEach(adapter -> loading.put(adapter, 0L));
    EngineReport report =
        new EngineReport(
            OptionalLong.of(startedAtMillis),
            acceptedOrders,
            List.of(MODEL),
            new TreeMap<>(adapters),
            loading);
    snapshots.addLast(new Snapshot(nowMillis, report));
  }

  /** Returns the engine's state of up to 400 ms ago, never older than in the former report. */
  EngineReport report(long nowMillis) {
    finishLoads(nowMillis);
    takeSnapshot(nowMillis);
    long age = random.nextInt((int) MAXIMUM_REPORT_AGE_MILLIS);
    reportedMillis = Math.max(reportedMillis, nowMillis - age);
    Optional<Snapshot> latest = Optional.empty();
    for (Snapshot snapshot : snapshots) {
      if (latest.isEmpty() || snapshot.atMillis() <= reportedMillis) {
        latest = Optional.of(snapshot);
      }
    }
    while (snapshots.size() > 1
        && snapshots.peekFirst().atMillis() < nowMillis - 2 * MAXIMUM_REPORT_AGE_MILLIS) {
      snapshots.removeFirst();
    }
    return latest.orElseThrow().report();
  }
}
