package org.lentilhinge.benchmarks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.configuration.Adapter;
import org.lentilhinge.configuration.Caller;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.configuration.Policy;
import org.lentilhinge.configuration.StoreBudget;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.configuration.Zone;
import org.lentilhinge.host.AttemptResult;
import org.lentilhinge.host.EngineState;
import org.lentilhinge.host.EntryHost;
import org.lentilhinge.host.GatewayRequest;
import org.lentilhinge.host.HostCommand;
import org.lentilhinge.host.HostEvent;
import org.lentilhinge.host.HostParameters;
import org.lentilhinge.host.OrderOutcome;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.routing.ClassifiedRequest;
import org.lentilhinge.runtime.host.HostMessages;
import org.lentilhinge.runtime.peer.MessageCodec;

/**
 * Runs the entry hosts of one zone in virtual time, with engines that carry out every order, and
 * counts the messages between the hosts.
 */
final class MeasuredHosts {

  private static final ZoneId ZONE = new ZoneId("zone-1");
  private static final BaseModelId MODEL = new BaseModelId("base-1");
  private static final CallerId CALLER = new CallerId("caller-1");
  private static final int ADAPTER_SLOTS = 32;
  private static final int BATCH_SLOTS = 128;
  private static final long TICK_MILLIS = 100;
  private static final long REQUEST_MILLIS = 22_000;
  private static final long ADAPTER_BYTES = 40_000_000;
  private static final int LENGTH_PREFIX_BYTES = 4;

  private record ScheduledAction(long atMillis, long sequence, Runnable action)
      implements Comparable<ScheduledAction> {

    @Override
    public int compareTo(ScheduledAction other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final Random random = new Random(1);
  private final MessageCodec codec = new MessageCodec(HostMessages.registry());
  private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>();
  private final Map<HostId, EntryHost> hosts = new TreeMap<>();
  private final Map<EndpointId, Set<AdapterVersion>> resident = new HashMap<>();
  private final Map<EndpointId, Integer> running = new HashMap<>();
  private final Map<String, long[]> traffic = new TreeMap<>();
  private final List<AdapterVersion> versions = new ArrayList<>();
  private final double requestsPerSecond;
  private long nowMillis;
  private long sequence;
  private long requests;
  private long dispatched;
  private long refused;

  /**
   * Starts the hosts.
   *
   * @param loaded whether all adapters are loaded at the engines from the start
   */
  MeasuredHosts(
      int hostCount, int engineCount, int adapters, double requestsPerSecond, boolean loaded) {
    this.requestsPerSecond = requestsPerSecond;
    List<ListedHost> listed = new ArrayList<>();
    for (int number = 0; number < hostCount; number++) {
      listed.add(new ListedHost(new HostId("entry-" + number), ZONE, "127.0.0.1:1", false));
    }
    Configuration configuration = configuration(engineCount, adapters);
    if (loaded) {
      List<EndpointId> engines = List.copyOf(resident.keySet());
      for (int number = 0; number < adapters; number++) {
        resident.get(engines.get(number % engineCount)).add(versions.get(number));
      }
    }
    for (ListedHost host : listed) {
      HostIncarnation incarnation = new HostIncarnation(host.host(), 1);
      hosts.put(
          host.host(),
          new EntryHost(incarnation, ZONE, listed, HostParameters.defaults(), random, 0));
    }
    for (HostId host : hosts.keySet()) {
      handle(host, new HostEvent.HostsListed(listed));
      handle(host, new HostEvent.Configured(configuration));
      schedule(random.nextInt((int) TICK_MILLIS), () -> tick(host));
      schedule(20_000 + random.nextInt(1_000), () -> arrive(host));
    }
  }

  /**
   * Runs for a duration of virtual time in milliseconds. Returns for each message type the number
   * of messages and the number of their encoded bytes, in this order.
   */
  Map<String, long[]> run(long millis) {
    traffic.clear();
    long endMillis = nowMillis + millis;
    while (!scheduledActions.isEmpty() && scheduledActions.peek().atMillis() <= endMillis) {
      ScheduledAction next = scheduledActions.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    nowMillis = endMillis;
    return traffic;
  }

  long dispatched() {
    return dispatched;
  }

  long refused() {
    return refused;
  }

  private Configuration configuration(int engineCount, int adapterCount) {
    Map<EndpointId, Engine> engines = new HashMap<>();
    for (int number = 0; number < engineCount; number++) {
      EndpointId id = new EndpointId("engine-" + number);
      engines.put(
          id,
          new Engine(
              id, ZONE, "127.0.0.1:1", MODEL, ADAPTER_SLOTS, BATCH_SLOTS, FencingSupport.CHECKED));
      resident.put(id, new HashSet<>());
    }
    Map<AdapterId, Adapter> adapters = new HashMap<>();
    for (int number = 0; number < adapterCount; number++) {
      AdapterId id = new AdapterId("adapter-" + number);
      adapters.put(id, new Adapter(id, MODEL, 1, ADAPTER_BYTES));
      versions.add(new AdapterVersion(id, 1));
    }
    return new Configuration(
        new ConfigurationVersion(1),
        Map.of(ZONE, new Zone(ZONE, new RegionId("region-1"))),
        adapters,
        Map.of(CALLER, new Caller(CALLER, "0".repeat(64), 1, 100_000)),
        List.of(),
        engines,
        Map.of(),
        new StoreBudget(10, 32, Map.of(ZONE, 1)),
        new Policy(1, 1, 5_000, 60_000));
  }

  private void tick(HostId host) {
    handle(host, new HostEvent.Tick());
    schedule(TICK_MILLIS, () -> tick(host));
  }

  private void arrive(HostId host) {
    int adapter = (int) (versions.size() * Math.pow(random.nextDouble(), 4));
    ClassifiedRequest classified =
        new ClassifiedRequest(
            CALLER, "rule", versions.get(adapter), MODEL, ADAPTER_BYTES, Urgency.NORMAL);
    RequestId id = new RequestId(new HostIncarnation(host, 1), ++requests);
    GatewayRequest request =
        new GatewayRequest(id, 1, classified, Set.of(), OptionalLong.empty(), nowMillis + 5_000);
    handle(host, new HostEvent.AttemptRequested(request));
    schedule(
        (long) (-1_000 * Math.log(1 - random.nextDouble()) / requestsPerSecond),
        () -> arrive(host));
  }

  private void handle(HostId host, HostEvent event) {
    for (HostCommand command : hosts.get(host).handle(event, nowMillis, nowMillis)) {
      execute(host, command);
    }
  }

  private void execute(HostId host, HostCommand command) {
    if (command instanceof HostCommand.Send send) {
      countMessage(send.message());
      HostId to = send.to();
      schedule(1, () -> handle(to, new HostEvent.MessageReceived(host, send.message())));
    } else if (command instanceof HostCommand.ReadReport read) {
      schedule(2, () -> report(host, read.endpoint()));
    } else if (command instanceof HostCommand.OrderLoad load) {
      schedule(250, () -> finishOrder(host, load.endpoint(), load.version(), true, load.fencing()));
    } else if (command instanceof HostCommand.OrderUnload unload) {
      schedule(
          5, () -> finishOrder(host, unload.endpoint(), unload.version(), false, unload.fencing()));
    } else if (command instanceof HostCommand.Dispatch dispatch) {
      dispatched++;
      running.merge(dispatch.endpoint(), 1, Integer::sum);
      schedule(REQUEST_MILLIS, () -> finish(host, dispatch));
    } else if (command instanceof HostCommand.Refuse) {
      refused++;
    }
  }

  private void finish(HostId host, HostCommand.Dispatch dispatch) {
    running.merge(dispatch.endpoint(), -1, Integer::sum);
    handle(host, new HostEvent.AttemptEnded(dispatch.request(), AttemptResult.ENDED));
    handle(host, new HostEvent.RequestFinished(dispatch.request()));
  }

  private void finishOrder(
      HostId host,
      EndpointId endpoint,
      AdapterVersion version,
      boolean load,
      FencingToken fencing) {
    if (load) {
      resident.get(endpoint).add(version);
    } else {
      resident.get(endpoint).remove(version);
    }
    handle(host, new HostEvent.OrderEnded(endpoint, version, load, new OrderOutcome.Done(fencing)));
  }

  private void report(HostId host, EndpointId endpoint) {
    EngineState state =
        new EngineState(
            endpoint,
            1,
            Optional.empty(),
            resident.get(endpoint),
            Set.of(),
            running.getOrDefault(endpoint, 0),
            0,
            false,
            nowMillis - 2);
    handle(host, new HostEvent.EngineReported(state));
  }

  private void countMessage(PeerMessage message) {
    long[] counts =
        traffic.computeIfAbsent(message.getClass().getSimpleName(), absent -> new long[2]);
    counts[0]++;
    counts[1] += codec.encode(message).length + LENGTH_PREFIX_BYTES;
  }

  private void schedule(long delayMillis, Runnable action) {
    scheduledActions.add(new ScheduledAction(nowMillis + delayMillis, sequence++, action));
  }
}
