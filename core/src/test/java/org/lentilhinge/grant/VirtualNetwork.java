package org.lentilhinge.grant;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/** Simulates messages and orders in virtual time and checks the invariants after every event. */
final class VirtualNetwork {

  static final long MAXIMUM_ORDER_TRANSIT_MILLIS = 2_000;
  private static final long TICK_MILLIS = 500;
  private static final int MAXIMUM_TRACE_LINES = 60;

  final Random random;
  final Map<HostId, VirtualHost> hosts = new TreeMap<>();
  final Map<EndpointId, VirtualEngine> engines = new TreeMap<>();
  final Set<List<HostId>> brokenLinks = new HashSet<>();
  final Deque<String> trace = new ArrayDeque<>();
  OptionalLong requestMillis = OptionalLong.empty();
  double dropRate;
  double slowRate;
  int droppedOrders;
  int refusedRequests;
  int dispatched;
  int messages;
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparing(Event::number));
  private long nowMillis;
  private long eventCount;
  private long incarnations;

  VirtualNetwork(long seed) {
    this.random = new Random(seed);
  }

  long nowMillis() {
    return nowMillis;
  }

  Map<EndpointId, FencingSupport> fencingByEndpoint() {
    Map<EndpointId, FencingSupport> fencingSupport = new TreeMap<>();
    engines.values().forEach(engine -> fencingSupport.put(engine.id, engine.fencing));
    return fencingSupport;
  }

  VirtualEngine addEngine(String name, FencingSupport fencing) {
    VirtualEngine engine = new VirtualEngine(name, fencing);
    engines.put(engine.id, engine);
    return engine;
  }

  /** Starts or restarts a host. */
  VirtualHost start(String name) {
    HostId id = new HostId(name);
    kill(hosts.get(id));
    HostIncarnation self = new HostIncarnation(id, ++incarnations);
    double clockRate = 1 + (random.nextDouble() - 0.5) / 500;
    VirtualHost host = new VirtualHost(this, self, clockRate, nowMillis);
    hosts.put(id, host);
    tick(host);
    return host;
  }

  void kill(VirtualHost host) {
    if (host != null) {
      host.alive = false;
      hosts.remove(host.self.host(), host);
    }
  }

  void deliverList(List<HostId> listed) {
    hosts.values().forEach(host -> deliverList(host, listed));
  }

  /** Delivers a list to one host. */
  void deliverList(VirtualHost host, List<HostId> listed) {
    List<HostId> delivered = List.copyOf(listed);
    run(host, () -> host.onHostList(delivered));
  }

  void send(VirtualHost from, HostId to, PeerMessage message) {
    messages++;
    int copies = random.nextDouble() < dropRate ? 0 : random.nextDouble() < dropRate ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      schedule(nowMillis + messageDelayMillis(), () -> deliver(from.self.host(), to, message));
    }
  }

  /** Runs an action on a host after a short delay, unless the host has failed by then. */
  void runLater(VirtualHost host, Runnable action) {
    schedule(nowMillis + random.nextInt(50), () -> run(host, action));
  }

  void read(VirtualHost host, EndpointId endpoint, Consumer<VirtualEngine> onRead) {
    VirtualEngine engine = engines.get(endpoint);
    runLater(host, () -> onRead.accept(engine));
  }

  void order(
      VirtualHost host,
      EndpointId endpoint,
      boolean load,
      AdapterVersion version,
      FencingToken token,
      BiConsumer<VirtualEngine, Boolean> onReply) {
    VirtualEngine engine = engines.get(endpoint);
    trace(host.self + " writes " + (load ? "load " : "unload ") + version + " to " + endpoint);
    long transitMillis =
        random.nextInt(10) == 0 ? random.nextInt((int) MAXIMUM_ORDER_TRANSIT_MILLIS) : 5;
    schedule(
        nowMillis + transitMillis,
        () -> {
          boolean accepted = engine.order(load, version, token);
          runLater(host, () -> onReply.accept(engine, accepted));
        });
  }

  void dispatch(VirtualHost host, EndpointId endpoint, AdapterVersion version, Runnable onEnd) {
    VirtualEngine engine = engines.get(endpoint);
    dispatched++;
    trace(host.self + " dispatches " + version + " to " + endpoint);
    long durationMillis =
        requestMillis.orElseGet(
            () -> random.nextInt((int) VirtualHost.MAXIMUM_REQUEST_MILLIS - 200));
    schedule(nowMillis + random.nextInt(50), () -> engine.start(version));
    schedule(
        nowMillis + 50 + durationMillis,
        () -> {
          engine.end(version);
          runLater(host, onEnd);
        });
  }

  /** Schedules an event. */
  void schedule(long atMillis, Runnable action) {
    queue.add(new Event(atMillis, ++eventCount, action));
  }

  /** Runs all events up to the given time and checks the invariants after each event. */
  void runUntil(long untilMillis) {
    while (!queue.isEmpty() && queue.peek().atMillis() <= untilMillis) {
      Event event = queue.poll();
      nowMillis = Math.max(nowMillis, event.atMillis());
      event.action().run();
      checkInvariants();
    }
    nowMillis = untilMillis;
  }

  /** Returns the hosts that may order an endpoint, including paused but not suspended hosts. */
  List<HostIncarnation> hostsThatMayOrder(EndpointId endpoint) {
    List<HostIncarnation> permitted = new ArrayList<>();
    for (VirtualHost host : hosts.values()) {
      if (!host.suspended && host.ownership.mayOrder(endpoint, host.now())) {
        permitted.add(host.self);
      }
    }
    return permitted;
  }

  void trace(String line) {
    trace.add(nowMillis + " " + line);
    if (trace.size() > MAXIMUM_TRACE_LINES) {
      trace.remove();
    }
  }

  private void checkInvariants() {
    for (VirtualEngine engine : engines.values()) {
      List<HostIncarnation> owners = hostsThatMayOrder(engine.id);
      if (owners.size() > 1) {
        throw new AssertionError("two owners of " + engine.id + ": " + owners);
      }
      if (!engine.violations.isEmpty()) {
        throw new AssertionError(String.join("; ", engine.violations));
      }
    }
  }

  private void deliver(HostId from, HostId to, PeerMessage message) {
    VirtualHost host = hosts.get(to);
    if (host != null && !brokenLinks.contains(List.of(from, to))) {
      run(host, () -> host.onMessage(from, message));
    }
  }

  private void run(VirtualHost host, Runnable action) {
    if (!host.alive) {
      return;
    }
    if (nowMillis < host.pausedUntilMillis) {
      schedule(host.pausedUntilMillis, () -> run(host, action));
      return;
    }
    host.suspended = false;
    host.detectPause();
    action.run();
  }

  private void tick(VirtualHost host) {
    run(host, host::onTick);
    if (host.alive) {
      schedule(Math.max(nowMillis, host.pausedUntilMillis) + TICK_MILLIS, () -> tick(host));
    }
  }

  private long messageDelayMillis() {
    return random.nextDouble() < slowRate ? random.nextInt(3_000) : 1 + random.nextInt(10);
  }

  private record Event(long atMillis, long number, Runnable action) {}
}
