package org.lentilhinge.booking;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.lentilhinge.configuration.Deduplication;
import org.lentilhinge.configuration.Service;
import org.lentilhinge.configuration.ServiceInstance;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.identity.ServiceId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.message.PeerMessage;

/**
 * Simulates a few entry hosts, a service that counts its runs, and callers who receive outcomes.
 * Checks on each event that no key runs twice and that each reported outcome is true.
 */
final class BookingSimulation {

  static final ZoneId ZONE = new ZoneId("north");
  static final List<HostId> HOSTS =
      List.of(new HostId("amber"), new HostId("basalt"), new HostId("clay"));
  static final BookingLimits LIMITS =
      new BookingLimits(2_000, 20_000, 10_000, 1_000, 600, 50, 500, 50, 100);

  private static final ServiceId SERVICE = new ServiceId("orders");
  private static final CallerId CALLER = new CallerId("counter");
  private static final int TRACE_LINES = 40;

  private final Random random;
  private final Map<HostId, SimulatedNode> nodes = new LinkedHashMap<>();
  private final SimulatedPartitionLeases leases = new SimulatedPartitionLeases();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private final Set<String> cutLinks = new HashSet<>();
  private final Map<RequestId, Booking> bookings = new HashMap<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, Integer> pendingRequests = new HashMap<>();
  private final Map<String, List<BookingOutcome>> outcomes = new HashMap<>();
  private final Set<String> reportedNotRun = new HashSet<>();
  private final Set<HostId> leaving = new HashSet<>();
  private final List<String> trace = new ArrayList<>();
  private Deduplication deduplication = Deduplication.NONE;
  private ServiceMode serviceMode = ServiceMode.ANSWERS;
  private long maximumDelayMillis = 1;
  private long stepMillis = 10;
  private double lossProbability;
  private double wrongOwnerProbability;
  private long nowMillis = 1_000;
  private long nextEvent;
  private long messages;
  private long incarnations;

  BookingSimulation(Random random) {
    this.random = random;
    HOSTS.forEach(this::start);
  }

  void start(HostId host) {
    trace("boot " + host);
    leases.release(host);
    incarnations++;
    leaving.remove(host);
    HostIncarnation incarnation = new HostIncarnation(host, incarnations);
    nodes.put(host, new SimulatedNode(this, incarnation, random.nextInt(100_000)));
  }

  long now() {
    return nowMillis;
  }

  long messages() {
    return messages;
  }

  SimulatedPartitionLeases leases() {
    return leases;
  }

  SimulatedNode node(HostId host) {
    return nodes.get(host);
  }

  Optional<Service> service(ServiceId service) {
    List<ServiceInstance> instances = new ArrayList<>();
    instances.add(new ServiceInstance(new EndpointId("orders-1"), ZONE, "192.0.2.1:80"));
    instances.add(new ServiceInstance(new EndpointId("orders-2"), ZONE, "192.0.2.2:80"));
    return Optional.of(
        new Service(SERVICE, ZONE, instances, List.of(), Set.of(CALLER), deduplication));
  }

  void enableDeduplication() {
    deduplication = Deduplication.BY_KEY;
  }

  void setServiceMode(ServiceMode mode) {
    serviceMode = mode;
  }

  void setStepMillis(long millis) {
    stepMillis = millis;
  }

  void setNetwork(long delayMillis, double loss, double wrongOwners) {
    maximumDelayMillis = delayMillis;
    lossProbability = loss;
    wrongOwnerProbability = wrongOwners;
  }

  // Calls of the callers.

  void book(HostId gateway, String key, String body) {
    SimulatedNode node = nodes.get(gateway);
    RequestId request = node.nextRequest();
    bookings.put(request, new Booking(key, body, gateway));
    pendingRequests.merge(key, 1, Integer::sum);
    reportedNotRun.remove(key);
    trace("book " + key + " at " + gateway + " as " + request);
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    BookingCall call = new BookingCall("POST", "/orders", "text/plain", bytes);
    node.book(request, new BookingKey(SERVICE, CALLER, key), call);
  }

  void onOutcome(RequestId request, BookingOutcome outcome) {
    Booking booking = bookings.remove(request);
    trace("outcome " + request + " " + outcome.state() + " " + outcome.reason());
    if (booking == null) {
      return;
    }
    String key = booking.key();
    int others = pendingRequests.merge(key, -1, Integer::sum);
    outcomes.computeIfAbsent(key, unused -> new ArrayList<>()).add(outcome);
    boolean mismatch = outcome.reason() == BookingReason.CALL_MISMATCH;
    if (outcome.state() == BookingState.RAN && runs(key) != 1) {
      throw violation(key, "reported as run, with runs=" + runs(key));
    }
    if (outcome.state() == BookingState.NOT_RUN && others == 0 && !mismatch) {
      if (runs(key) > 0) {
        throw violation(key, "reported as not run, with runs=" + runs(key));
      }
      reportedNotRun.add(key);
    }
  }

  int runs(String key) {
    return runs.getOrDefault(key, 0);
  }

  List<BookingOutcome> outcomes(String key) {
    return outcomes.getOrDefault(key, List.of());
  }

  int pendingCount() {
    return bookings.size();
  }

  // Failures.

  void crash(HostId host) {
    trace("crash " + host);
    SimulatedNode node = nodes.get(host);
    node.crash();
    List<RequestId> lost =
        bookings.entrySet().stream()
            .filter(entry -> entry.getKey().incarnation().equals(node.incarnation()))
            .map(Map.Entry::getKey)
            .toList();
    for (RequestId request : lost) {
      pendingRequests.merge(bookings.remove(request).key(), -1, Integer::sum);
    }
  }

  void leave(HostId host, HostId successor) {
    trace("leave " + host + " to " + successor);
    nodes.get(host).startHandOver(successor);
    leaving.add(host);
  }

  void onHandOverFinished(SimulatedNode node) {
    trace("handed over " + node.host());
    // The confirmation is sent before the lease is released.
    schedule(2 * maximumDelayMillis, () -> node.perform(() -> leases.release(node.host())));
  }

  void cut(HostId from, HostId receiver) {
    trace("cut " + from + " to " + receiver);
    cutLinks.add(from + ">" + receiver);
  }

  void healCuts() {
    cutLinks.clear();
  }

  void healAll() {
    trace("heal");
    healCuts();
    setNetwork(maximumDelayMillis, 0, 0);
    for (HostId host : HOSTS) {
      if (nodes.get(host).isCrashed()) {
        start(host);
      } else if (nodes.get(host).isPaused()) {
        resume(host);
      }
    }
  }

  void pause(HostId host) {
    trace("pause " + host);
    nodes.get(host).pause();
  }

  void resume(HostId host) {
    trace("resume " + host);
    nodes.get(host).resume();
  }

  private boolean isCut(HostId from, HostId receiver) {
    return cutLinks.contains(from + ">" + receiver);
  }

  private Set<HostId> reachable() {
    return HOSTS.stream().filter(this::reachesMajority).collect(Collectors.toSet());
  }

  private boolean reachesMajority(HostId host) {
    SimulatedNode node = nodes.get(host);
    if (node.isCrashed() || node.isPaused()) {
      return false;
    }
    // A stopping host keeps its leases until it releases them, and is granted no others.
    long reached =
        HOSTS.stream()
            .filter(other -> !isCut(host, other) && !isCut(other, host))
            .filter(other -> !nodes.get(other).isCrashed() && !nodes.get(other).isPaused())
            .count();
    return reached > HOSTS.size() / 2;
  }

  /** Finds the host that will own a partition when its current owner has stopped. */
  HostId nextOwner(BookingPartition partition, HostId stopping) {
    for (int index = 0; index < HOSTS.size(); index++) {
      HostId host = HOSTS.get((partition.number() + index) % HOSTS.size());
      if (!host.equals(stopping) && !leaving.contains(host)) {
        return host;
      }
    }
    return stopping;
  }

  Optional<HostId> findOwner(BookingPartition partition) {
    if (random.nextDouble() < wrongOwnerProbability) {
      return Optional.of(HOSTS.get(random.nextInt(HOSTS.size())));
    }
    return leases.owner(partition);
  }

  // Time, messages and the service.

  void advance(long millis) {
    long endMillis = nowMillis + millis;
    while (nowMillis < endMillis) {
      nowMillis += stepMillis;
      Set<HostId> reachable = reachable();
      leases.renew(HOSTS, reachable::contains, host -> !leaving.contains(host), nowMillis);
      while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
        events.remove().action().run();
      }
      List.copyOf(nodes.values()).forEach(SimulatedNode::tick);
    }
  }

  private void schedule(long delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, nextEvent++, action));
  }

  private long delayMillis() {
    return 1 + (long) (random.nextDouble() * maximumDelayMillis);
  }

  void send(HostId from, HostId receiver, PeerMessage message) {
    messages += from.equals(receiver) ? 0 : 1;
    boolean lost = !from.equals(receiver) && random.nextDouble() < lossProbability;
    if (lost || isCut(from, receiver)) {
      return;
    }
    SimulatedNode target = nodes.get(receiver);
    int copies = random.nextDouble() < lossProbability ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      schedule(delayMillis(), () -> target.receive(from, message));
    }
  }

  void callService(SimulatedNode node, BookingCommand.CallService call) {
    schedule(delayMillis(), () -> node.perform(() -> startCall(node, call)));
  }

  private void startCall(SimulatedNode node, BookingCommand.CallService call) {
    ServiceMode mode = serviceMode;
    if (mode == ServiceMode.RANDOM) {
      mode = ServiceMode.values()[random.nextInt(ServiceMode.RANDOM.ordinal())];
    }
    if (!node.mayStart(call.attempt()) || mode == ServiceMode.REFUSES) {
      node.onAttemptEnded(call.attempt(), ServiceResult.notSent());
      return;
    }
    String key = call.key().value();
    ServiceMode selectedMode = mode;
    trace("send " + key + " from " + node.host() + " " + selectedMode);
    schedule(delayMillis(), () -> serve(node, call, key, selectedMode));
  }

  private void serve(
      SimulatedNode node, BookingCommand.CallService call, String key, ServiceMode mode) {
    if (mode != ServiceMode.LOSES_REQUEST) {
      run(key);
    }
    BookingResponse response = new BookingResponse(201, "text/plain", call.call().body());
    if (mode == ServiceMode.ANSWERS) {
      schedule(
          delayMillis(),
          () -> node.onAttemptEnded(call.attempt(), ServiceResult.answered(response)));
    } else if (mode == ServiceMode.BREAKS) {
      schedule(delayMillis(), () -> node.onAttemptEnded(call.attempt(), ServiceResult.sent()));
    }
  }

  private void run(String key) {
    trace("run " + key);
    boolean again = deduplication == Deduplication.BY_KEY && runs(key) > 0;
    if (!again) {
      runs.merge(key, 1, Integer::sum);
    }
    if (runs(key) > 1) {
      throw violation(key, "ran twice");
    }
    if (reportedNotRun.contains(key)) {
      throw violation(key, "ran after it had been reported as not run");
    }
  }

  private void trace(String line) {
    trace.add(nowMillis + " " + line);
  }

  private AssertionError violation(String key, String description) {
    int from = Math.max(0, trace.size() - TRACE_LINES);
    return new AssertionError(
        key + ": " + description + "\n" + String.join("\n", trace.subList(from, trace.size())));
  }

  /** How the service handles a call. */
  enum ServiceMode {
    /** Runs the call and responds. */
    ANSWERS,
    /** Refuses connections. */
    REFUSES,
    /** Runs the call and breaks the connection. */
    BREAKS,
    /** Runs the call and sends no response. */
    STAYS_SILENT,
    /** Loses the request and sends no response. */
    LOSES_REQUEST,
    /** Selects one of the other modes at random for each call. */
    RANDOM
  }

  private record Booking(String key, String body, HostId gateway) {}

  private record Event(long atMillis, long number, Runnable action) {}
}
