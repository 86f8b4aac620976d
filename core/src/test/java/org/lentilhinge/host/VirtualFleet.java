package org.lentilhinge.host;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.routing.ClassifiedRequest;

/**
 * Connects entry hosts and fake engines in virtual time by links that delay and lose messages and
 * can be cut.
 */
final class VirtualFleet {

  private static final int TRACE_LINES = 60;
  private static final long DEADLINE_MILLIS = 5_000;
  private static final long REQUEST_MILLIS = 4_000;

  private record Link(HostId from, HostId to) {}

  private record PendingRequest(
      VirtualHost gateway, ClassifiedRequest classified, long deadlineMillis) {}

  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final Map<HostId, VirtualHost> hosts = new TreeMap<>();
  private final Map<EndpointId, VirtualEngine> engines = new TreeMap<>();
  private final Map<Link, Long> lastDeliveryAtMillis = new HashMap<>();
  private final Set<Link> cutLinks = new HashSet<>();
  private final Map<RequestId, PendingRequest> pendingRequests = new HashMap<>();
  private final Set<RequestId> refused = new HashSet<>();
  private final Set<RequestId> executed = new HashSet<>();
  private final Map<EndpointId, Long> leavingSinceMillis = new HashMap<>();
  private final Deque<String> trace = new ArrayDeque<>();
  private final List<String> failures = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final List<ListedHost> listed;
  private final int maximumLoadsInFlight;
  private Configuration configuration;
  private double loadFailureRate;
  private long linksRestoredAtMillis;
  private long requestNumber;
  private int dispatches;
  private int unloads;

  VirtualFleet(long seed, Configuration configuration, List<ListedHost> listed) {
    this.random = new Random(seed);
    this.configuration = configuration;
    this.listed = listed;
    this.maximumLoadsInFlight = configuration.storeBudget().loadsInFlight();
    for (Engine engine : configuration.engines().values()) {
      engines.put(engine.id(), new VirtualEngine(engine, time, this::recordViolation));
    }
    for (ListedHost host : listed) {
      hosts.put(host.host(), new VirtualHost(host, time, random, started -> {}));
    }
    hosts.values().forEach(this::start);
  }

  Random random() {
    return random;
  }

  VirtualTime time() {
    return time;
  }

  List<VirtualHost> hosts() {
    return List.copyOf(hosts.values());
  }

  VirtualHost host(HostId id) {
    return hosts.get(id);
  }

  VirtualEngine engine(EndpointId id) {
    return engines.get(id);
  }

  List<VirtualEngine> engines() {
    return List.copyOf(engines.values());
  }

  List<String> violations() {
    return violations;
  }

  int dispatches() {
    return dispatches;
  }

  int unloads() {
    return unloads;
  }

  int refusals() {
    return refused.size();
  }

  /** Returns all injected failures and the last events. */
  String trace() {
    return "failures:\n"
        + String.join("\n", failures)
        + "\nlast events:\n"
        + String.join("\n", trace);
  }

  void loadFailureRate(double rate) {
    loadFailureRate = rate;
  }

  /** Runs all events of the given time span and checks the invariants after each event. */
  void run(long millis) {
    time.runUntil(time.nowMillis() + millis, this::checkInvariants);
  }

  void start(VirtualHost host) {
    recordFailure("start " + host.id());
    host.start(listed, commands -> execute(host, commands));
    time.after(
        random.nextInt(300),
        () -> host.configure(configuration, commands -> execute(host, commands)));
  }

  void crash(VirtualHost host) {
    recordFailure("crash " + host.id());
    pendingRequests.values().removeIf(pending -> pending.gateway() == host);
    host.crash();
  }

  void pause(VirtualHost host, long millis) {
    recordFailure("pause " + host.id() + " for " + millis);
    host.pause(millis);
  }

  void setLinkCut(HostId from, HostId to, boolean cut) {
    Link link = new Link(from, to);
    if (cut ? cutLinks.add(link) : cutLinks.remove(link)) {
      recordFailure((cut ? "cut " : "restore ") + from + " to " + to);
    }
  }

  void restoreAllLinks() {
    if (!cutLinks.isEmpty()) {
      linksRestoredAtMillis = time.nowMillis();
    }
    cutLinks.clear();
    recordFailure("restore all links");
  }

  boolean areAllLinksUp() {
    return cutLinks.isEmpty();
  }

  void configure(Configuration newConfiguration) {
    configuration = newConfiguration;
    recordFailure("configuration " + newConfiguration.version());
    for (VirtualHost host : hosts.values()) {
      time.after(
          random.nextInt(3_000),
          () -> {
            if (host.isUp()) {
              host.configure(newConfiguration, commands -> execute(host, commands));
            }
          });
    }
  }

  void markLeaving(EndpointId endpoint, VirtualHost observer) {
    if (!areAllLinksUp()) {
      return;
    }
    recordFailure("leaving " + endpoint + " seen by " + observer.id());
    leavingSinceMillis.putIfAbsent(endpoint, time.nowMillis());
    handle(observer, new HostEvent.EndpointLeaving(endpoint));
  }

  /** Sends a request to a host; returns the request id. */
  RequestId sendRequest(VirtualHost host, ClassifiedRequest classified) {
    RequestId id = new RequestId(host.incarnation(), ++requestNumber);
    long deadlineMillis = host.nowMillis() + DEADLINE_MILLIS;
    pendingRequests.put(
        id, new PendingRequest(host, classified, time.nowMillis() + DEADLINE_MILLIS));
    GatewayRequest request =
        new GatewayRequest(id, 1, classified, Set.of(), OptionalLong.empty(), deadlineMillis);
    handle(host, new HostEvent.AttemptRequested(request));
    return id;
  }

  void handle(VirtualHost host, HostEvent event) {
    host.runWhenRunning(() -> execute(host, host.handle(event)));
  }

  private void execute(VirtualHost host, List<HostCommand> commands) {
    for (HostCommand command : commands) {
      execute(host, command);
    }
  }

  private void execute(VirtualHost host, HostCommand command) {
    if (command instanceof HostCommand.Send send) {
      send(host, send);
    } else if (command instanceof HostCommand.Dispatch dispatch) {
      executeDelayed(host, () -> dispatch(host, dispatch));
    } else if (command instanceof HostCommand.Refuse refuse) {
      addToTrace(host.id() + " refuses " + refuse.request().sequence() + " " + refuse.reason());
      pendingRequests.remove(refuse.request());
      refused.add(refuse.request());
    } else if (command instanceof HostCommand.OrderLoad order) {
      executeDelayed(
          host, () -> order(host, order.endpoint(), order.version(), order.fencing(), true));
    } else if (command instanceof HostCommand.OrderUnload order) {
      executeDelayed(
          host, () -> order(host, order.endpoint(), order.version(), order.fencing(), false));
    } else if (command instanceof HostCommand.ReadReport read) {
      readReport(host, read.endpoint());
    } else if (command instanceof HostCommand.OwnershipChanged change) {
      addToTrace(
          host.id() + " " + change.endpoint() + " " + change.previous() + ">" + change.current());
    }
  }

  /** Executes an action shortly after the decision; the process may be paused in between. */
  private void executeDelayed(VirtualHost host, Runnable action) {
    time.after(random.nextInt(3), () -> host.runWhenRunning(action));
  }

  private void send(VirtualHost host, HostCommand.Send send) {
    Link link = new Link(host.id(), send.to());
    VirtualHost receiver = hosts.get(send.to());
    if (receiver == null || cutLinks.contains(link) || random.nextInt(200) == 0) {
      return;
    }
    long delayMillis = random.nextInt(50) == 0 ? random.nextInt(1_500) : 1 + random.nextInt(20);
    long deliveredAtMillis =
        Math.max(lastDeliveryAtMillis.getOrDefault(link, 0L), time.nowMillis() + delayMillis);
    lastDeliveryAtMillis.put(link, deliveredAtMillis);
    time.after(
        deliveredAtMillis - time.nowMillis(),
        () -> handle(receiver, new HostEvent.MessageReceived(host.id(), send.message())));
  }

  private void dispatch(VirtualHost host, HostCommand.Dispatch dispatch) {
    RequestId id = dispatch.request();
    PendingRequest pending = pendingRequests.remove(id);
    if (pending != null && !pending.classified().version().equals(dispatch.version())) {
      recordViolation(id + " is dispatched with " + dispatch.version());
    }
    if (!host.host().mayDispatch(id, host.nowMillis())) {
      endAttempt(host, id, AttemptResult.NOT_STARTED);
      return;
    }
    checkLeaving(host, dispatch.endpoint());
    dispatches++;
    VirtualEngine engine = engines.get(dispatch.endpoint());
    time.after(
        1 + random.nextInt(5),
        () -> {
          if (!engine.run(id, dispatch.version())) {
            endAttempt(host, id, AttemptResult.NOT_STARTED);
            return;
          }
          executed.add(id);
          time.after(
              200 + random.nextInt((int) REQUEST_MILLIS - 300), () -> finish(host, engine, id));
        });
  }

  private void finish(VirtualHost host, VirtualEngine engine, RequestId id) {
    boolean ended = engine.finish(id);
    boolean confirmed = random.nextInt(20) > 0;
    endAttempt(host, id, ended && confirmed ? AttemptResult.ENDED : AttemptResult.LOST);
  }

  private void endAttempt(VirtualHost host, RequestId id, AttemptResult result) {
    if (host.isUp() && host.incarnation().equals(id.incarnation())) {
      handle(host, new HostEvent.AttemptEnded(id, result));
      handle(host, new HostEvent.RequestFinished(id));
    }
  }

  private void order(
      VirtualHost host,
      EndpointId endpoint,
      AdapterVersion version,
      FencingToken fencing,
      boolean load) {
    if (!host.host().mayOrder(endpoint, host.nowMillis())) {
      endOrder(host, endpoint, version, load, new OrderOutcome.Dropped());
      return;
    }
    VirtualEngine engine = engines.get(endpoint);
    long delayMillis = random.nextInt(30) == 0 ? random.nextInt(1_900) : random.nextInt(5);
    boolean answered = random.nextInt(25) > 0;
    time.after(
        delayMillis,
        () -> {
          addToTrace(host.id() + (load ? " loads " : " unloads ") + version + " on " + endpoint);
          if (load) {
            boolean fails = random.nextDouble() < loadFailureRate;
            engine
                .load(
                    version,
                    fencing,
                    fails,
                    250,
                    outcome -> scheduleOrderEnd(host, endpoint, version, true, outcome, answered))
                .ifPresent(
                    outcome -> scheduleOrderEnd(host, endpoint, version, true, outcome, answered));
          } else {
            unloads++;
            OrderOutcome outcome = engine.unload(version, fencing);
            scheduleOrderEnd(host, endpoint, version, false, outcome, answered);
          }
        });
  }

  private void scheduleOrderEnd(
      VirtualHost host,
      EndpointId endpoint,
      AdapterVersion version,
      boolean load,
      OrderOutcome outcome,
      boolean answered) {
    OrderOutcome received = answered ? outcome : new OrderOutcome.Unanswered();
    time.after(answered ? 2 : 2_000, () -> endOrder(host, endpoint, version, load, received));
  }

  private void endOrder(
      VirtualHost host,
      EndpointId endpoint,
      AdapterVersion version,
      boolean load,
      OrderOutcome outcome) {
    handle(host, new HostEvent.OrderEnded(endpoint, version, load, outcome));
  }

  private void readReport(VirtualHost host, EndpointId endpoint) {
    long sentAtMillis = host.nowMillis();
    VirtualEngine engine = engines.get(endpoint);
    time.after(
        2 + random.nextInt(5),
        () -> handle(host, new HostEvent.EngineReported(engine.report(sentAtMillis))));
  }

  private void checkInvariants() {
    int loads = engines.values().stream().mapToInt(VirtualEngine::loadsInFlight).sum();
    if (loads > maximumLoadsInFlight) {
      recordViolation(loads + " loads in flight");
    }
    for (VirtualEngine engine : engines.values()) {
      if (engine.engine().fencing() == FencingSupport.IGNORED) {
        checkOwners(engine.engine().id());
      }
    }
  }

  private void checkOwners(EndpointId endpoint) {
    Optional<HostId> owner = Optional.empty();
    for (VirtualHost host : hosts.values()) {
      if (host.isRunning() && host.host().mayOrder(endpoint, host.nowMillis())) {
        if (owner.isPresent()) {
          recordViolation(owner.get() + " and " + host.id() + " may both order " + endpoint);
        }
        owner = Optional.of(host.id());
      }
    }
  }

  /**
   * Checks that no host of the zone dispatches a request to a leaving endpoint more than three
   * seconds after a host of the zone has learned that the endpoint is leaving.
   */
  private void checkLeaving(VirtualHost host, EndpointId endpoint) {
    Long sinceMillis = leavingSinceMillis.get(endpoint);
    boolean sameZone = engines.get(endpoint).engine().zone().equals(host.zone());
    long leavingMillis =
        sinceMillis == null ? 0 : time.nowMillis() - Math.max(sinceMillis, linksRestoredAtMillis);
    if (sinceMillis != null && sameZone && areAllLinksUp() && leavingMillis > 3_000) {
      recordViolation(host.id() + " dispatches to leaving " + endpoint);
    }
  }

  /**
   * Checks at the end that every request was dispatched or refused in time, and that no request was
   * both refused and run.
   */
  void checkRequestOutcomes() {
    for (Map.Entry<RequestId, PendingRequest> entry : pendingRequests.entrySet()) {
      VirtualHost gateway = entry.getValue().gateway();
      long dueAtMillis = Math.max(entry.getValue().deadlineMillis(), gateway.runningSinceMillis());
      if (gateway.isRunning() && time.nowMillis() > dueAtMillis + 2_000) {
        recordViolation(entry.getKey() + " was neither dispatched nor refused");
      }
    }
    Set<RequestId> refusedAndRun = new HashSet<>(refused);
    refusedAndRun.retainAll(executed);
    if (!refusedAndRun.isEmpty()) {
      recordViolation(refusedAndRun + " were both refused and run");
    }
  }

  private void recordViolation(String description) {
    addToTrace("VIOLATION " + description);
    violations.add(time.nowMillis() + " ms: " + description);
  }

  private void recordFailure(String description) {
    failures.add(time.nowMillis() + " " + description);
    addToTrace(description);
  }

  private void addToTrace(String description) {
    trace.addLast(time.nowMillis() + " " + description);
    if (trace.size() > TRACE_LINES) {
      trace.removeFirst();
    }
  }
}
