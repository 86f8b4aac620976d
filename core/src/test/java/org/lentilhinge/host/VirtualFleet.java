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
import org.lentilhinge.configuration.FencingTrait;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingNumber;
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

  private record Asked(VirtualHost gateway, ClassifiedRequest classified, long deadlineMillis) {}

  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final Map<HostId, VirtualHost> hosts = new TreeMap<>();
  private final Map<EndpointId, VirtualEngine> engines = new TreeMap<>();
  private final Map<Link, Long> lastDelivery = new HashMap<>();
  private final Set<Link> cuts = new HashSet<>();
  private final Map<RequestId, Asked> open = new HashMap<>();
  private final Set<RequestId> refused = new HashSet<>();
  private final Set<RequestId> ran = new HashSet<>();
  private final Map<EndpointId, Long> leavingSince = new HashMap<>();
  private final Deque<String> trace = new ArrayDeque<>();
  private final List<String> failures = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final List<ListedHost> listed;
  private final int storeLimit;
  private Configuration configuration;
  private double loadFailureRate;
  private long wholeSince;
  private long requestNumber;
  private int dispatches;
  private int unloads;

  VirtualFleet(long seed, Configuration configuration, List<ListedHost> listed) {
    this.random = new Random(seed);
    this.configuration = configuration;
    this.listed = listed;
    this.storeLimit = configuration.storeBudget().loadsInFlight();
    for (Engine engine : configuration.engines().values()) {
      engines.put(engine.id(), new VirtualEngine(engine, time, this::violate));
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

  /** Runs for a time and checks the invariants after each event. */
  void run(long millis) {
    time.runUntil(time.nowMillis() + millis, this::check);
  }

  void start(VirtualHost host) {
    fail("start " + host.id());
    host.start(listed, commands -> carryOut(host, commands));
    time.after(
        random.nextInt(300),
        () -> host.configure(configuration, commands -> carryOut(host, commands)));
  }

  void crash(VirtualHost host) {
    fail("crash " + host.id());
    open.values().removeIf(pending -> pending.gateway() == host);
    host.crash();
  }

  void pause(VirtualHost host, long millis) {
    fail("pause " + host.id() + " for " + millis);
    host.pause(millis);
  }

  void cut(HostId from, HostId to, boolean isCut) {
    Link link = new Link(from, to);
    if (isCut ? cuts.add(link) : cuts.remove(link)) {
      fail((isCut ? "cut " : "restore ") + from + " to " + to);
    }
  }

  void joinAll() {
    if (!cuts.isEmpty()) {
      wholeSince = time.nowMillis();
    }
    cuts.clear();
    fail("restore all links");
  }

  boolean isWhole() {
    return cuts.isEmpty();
  }

  void configure(Configuration changed) {
    configuration = changed;
    fail("configuration " + changed.version());
    for (VirtualHost host : hosts.values()) {
      time.after(
          random.nextInt(3_000),
          () -> {
            if (host.isUp()) {
              host.configure(changed, commands -> carryOut(host, commands));
            }
          });
    }
  }

  void leave(EndpointId endpoint, VirtualHost observer) {
    if (!isWhole()) {
      return;
    }
    fail("leaving " + endpoint + " seen by " + observer.id());
    leavingSince.putIfAbsent(endpoint, time.nowMillis());
    handle(observer, new HostEvent.EndpointLeaving(endpoint));
  }

  /** Sends a request to a host; returns the request id. */
  RequestId ask(VirtualHost host, ClassifiedRequest classified) {
    RequestId id = new RequestId(host.incarnation(), ++requestNumber);
    long deadlineMillis = host.nowMillis() + DEADLINE_MILLIS;
    open.put(id, new Asked(host, classified, time.nowMillis() + DEADLINE_MILLIS));
    GatewayRequest request =
        new GatewayRequest(id, 1, classified, Set.of(), OptionalLong.empty(), deadlineMillis);
    handle(host, new HostEvent.AttemptWanted(request));
    return id;
  }

  void handle(VirtualHost host, HostEvent event) {
    host.whenActing(() -> carryOut(host, host.handle(event)));
  }

  private void carryOut(VirtualHost host, List<HostCommand> commands) {
    for (HostCommand command : commands) {
      carryOut(host, command);
    }
  }

  private void carryOut(VirtualHost host, HostCommand command) {
    if (command instanceof HostCommand.Send send) {
      send(host, send);
    } else if (command instanceof HostCommand.Dispatch dispatch) {
      soon(host, () -> dispatch(host, dispatch));
    } else if (command instanceof HostCommand.Refuse refuse) {
      note(host.id() + " refuses " + refuse.request().sequence() + " " + refuse.reason());
      open.remove(refuse.request());
      refused.add(refuse.request());
    } else if (command instanceof HostCommand.OrderLoad order) {
      soon(host, () -> order(host, order.endpoint(), order.version(), order.fencing(), true));
    } else if (command instanceof HostCommand.OrderUnload order) {
      soon(host, () -> order(host, order.endpoint(), order.version(), order.fencing(), false));
    } else if (command instanceof HostCommand.ReadReport read) {
      read(host, read.endpoint());
    } else if (command instanceof HostCommand.OwnershipChanged change) {
      note(host.id() + " " + change.endpoint() + " " + change.previous() + ">" + change.current());
    }
  }

  /** Executes an action shortly after the decision; the process may be paused in between. */
  private void soon(VirtualHost host, Runnable action) {
    time.after(random.nextInt(3), () -> host.whenActing(action));
  }

  private void send(VirtualHost host, HostCommand.Send send) {
    Link link = new Link(host.id(), send.to());
    VirtualHost receiver = hosts.get(send.to());
    if (receiver == null || cuts.contains(link) || random.nextInt(200) == 0) {
      return;
    }
    long delayMillis = random.nextInt(50) == 0 ? random.nextInt(1_500) : 1 + random.nextInt(20);
    long deliveredAtMillis =
        Math.max(lastDelivery.getOrDefault(link, 0L), time.nowMillis() + delayMillis);
    lastDelivery.put(link, deliveredAtMillis);
    time.after(
        deliveredAtMillis - time.nowMillis(),
        () -> handle(receiver, new HostEvent.MessageReceived(host.id(), send.message())));
  }

  private void dispatch(VirtualHost host, HostCommand.Dispatch dispatch) {
    RequestId id = dispatch.request();
    Asked pending = open.remove(id);
    if (pending != null && !pending.classified().version().equals(dispatch.version())) {
      violate(id + " is dispatched with " + dispatch.version());
    }
    if (!host.host().mayDispatch(id, host.nowMillis())) {
      end(host, id, AttemptEnding.NOT_STARTED);
      return;
    }
    checkLeaving(host, dispatch.endpoint());
    dispatches++;
    VirtualEngine engine = engines.get(dispatch.endpoint());
    time.after(
        1 + random.nextInt(5),
        () -> {
          if (!engine.run(id, dispatch.version())) {
            end(host, id, AttemptEnding.NOT_STARTED);
            return;
          }
          ran.add(id);
          time.after(
              200 + random.nextInt((int) REQUEST_MILLIS - 300), () -> finish(host, engine, id));
        });
  }

  private void finish(VirtualHost host, VirtualEngine engine, RequestId id) {
    boolean ended = engine.end(id);
    boolean confirmed = random.nextInt(20) > 0;
    end(host, id, ended && confirmed ? AttemptEnding.ENDED : AttemptEnding.LOST);
  }

  private void end(VirtualHost host, RequestId id, AttemptEnding result) {
    if (host.isUp() && host.incarnation().equals(id.incarnation())) {
      handle(host, new HostEvent.AttemptEnded(id, result));
      handle(host, new HostEvent.RequestFinished(id));
    }
  }

  private void order(
      VirtualHost host,
      EndpointId endpoint,
      AdapterVersion version,
      FencingNumber fencing,
      boolean load) {
    if (!host.host().mayOrder(endpoint, host.nowMillis())) {
      ended(host, endpoint, version, load, new OrderEnding.Dropped());
      return;
    }
    VirtualEngine engine = engines.get(endpoint);
    long delayMillis = random.nextInt(30) == 0 ? random.nextInt(1_900) : random.nextInt(5);
    boolean answered = random.nextInt(25) > 0;
    time.after(
        delayMillis,
        () -> {
          note(host.id() + (load ? " loads " : " unloads ") + version + " on " + endpoint);
          if (load) {
            boolean fails = random.nextDouble() < loadFailureRate;
            engine
                .load(
                    version,
                    fencing,
                    fails,
                    250,
                    outcome -> answer(host, endpoint, version, true, outcome, answered))
                .ifPresent(outcome -> answer(host, endpoint, version, true, outcome, answered));
          } else {
            unloads++;
            OrderEnding outcome = engine.unload(version, fencing);
            answer(host, endpoint, version, false, outcome, answered);
          }
        });
  }

  private void answer(
      VirtualHost host,
      EndpointId endpoint,
      AdapterVersion version,
      boolean load,
      OrderEnding outcome,
      boolean answered) {
    OrderEnding received = answered ? outcome : new OrderEnding.Unanswered();
    time.after(answered ? 2 : 2_000, () -> ended(host, endpoint, version, load, received));
  }

  private void ended(
      VirtualHost host,
      EndpointId endpoint,
      AdapterVersion version,
      boolean load,
      OrderEnding outcome) {
    handle(host, new HostEvent.OrderEnded(endpoint, version, load, outcome));
  }

  private void read(VirtualHost host, EndpointId endpoint) {
    long sentMillis = host.nowMillis();
    VirtualEngine engine = engines.get(endpoint);
    time.after(
        2 + random.nextInt(5),
        () -> handle(host, new HostEvent.EngineReported(engine.report(sentMillis))));
  }

  private void check() {
    int loads = engines.values().stream().mapToInt(VirtualEngine::loadsInFlight).sum();
    if (loads > storeLimit) {
      violate(loads + " loads in flight");
    }
    for (VirtualEngine engine : engines.values()) {
      if (engine.engine().fencing() == FencingTrait.IGNORED) {
        checkOwners(engine.engine().id());
      }
    }
  }

  private void checkOwners(EndpointId endpoint) {
    Optional<HostId> owner = Optional.empty();
    for (VirtualHost host : hosts.values()) {
      if (host.isActing() && host.host().mayOrder(endpoint, host.nowMillis())) {
        if (owner.isPresent()) {
          violate(owner.get() + " and " + host.id() + " may both order " + endpoint);
        }
        owner = Optional.of(host.id());
      }
    }
  }

  /**
   * Checks that a leaving endpoint gets no requests of its zone later than three seconds after a
   * host of the zone has learned that the endpoint is leaving.
   */
  private void checkLeaving(VirtualHost host, EndpointId endpoint) {
    Long sinceMillis = leavingSince.get(endpoint);
    boolean sameZone = engines.get(endpoint).engine().zone().equals(host.zone());
    long knownMillis =
        sinceMillis == null ? 0 : time.nowMillis() - Math.max(sinceMillis, wholeSince);
    if (sinceMillis != null && sameZone && isWhole() && knownMillis > 3_000) {
      violate(host.id() + " dispatches to leaving " + endpoint);
    }
  }

  /**
   * Checks at the end that every request was dispatched or refused in time, and none was both
   * refused and run.
   */
  void checkAnswers() {
    for (Map.Entry<RequestId, Asked> entry : open.entrySet()) {
      VirtualHost gateway = entry.getValue().gateway();
      long dueMillis = Math.max(entry.getValue().deadlineMillis(), gateway.actingSinceMillis());
      if (gateway.isActing() && time.nowMillis() > dueMillis + 2_000) {
        violate(entry.getKey() + " was neither dispatched nor refused");
      }
    }
    Set<RequestId> refusedAndRun = new HashSet<>(refused);
    refusedAndRun.retainAll(ran);
    if (!refusedAndRun.isEmpty()) {
      violate(refusedAndRun + " were both refused and run");
    }
  }

  private void violate(String description) {
    note("VIOLATION " + description);
    violations.add(time.nowMillis() + " ms: " + description);
  }

  private void fail(String description) {
    failures.add(time.nowMillis() + " " + description);
    note(description);
  }

  private void note(String description) {
    trace.addLast(time.nowMillis() + " " + description);
    if (trace.size() > TRACE_LINES) {
      trace.removeFirst();
    }
  }
}
