package org.lentilhinge.benchmarks;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.lentilhinge.grant.EndpointDemand;
import org.lentilhinge.grant.GrantAnswer;
import org.lentilhinge.grant.GrantCache;
import org.lentilhinge.grant.GrantCommand;
import org.lentilhinge.grant.GrantDemand;
import org.lentilhinge.grant.GrantLedger;
import org.lentilhinge.grant.GrantReply;
import org.lentilhinge.grant.GrantRequest;
import org.lentilhinge.grant.GrantSettings;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.runtime.host.HostMessages;
import org.lentilhinge.runtime.peer.MessageCodec;

/**
 * Measures the overhead of membership, leases and grants in steady state: messages, encoded bytes,
 * processor time and memory.
 */
public final class OwnershipMeasurement {

  private static final int[][] ZONE_SIZES = {{3, 2, 3}, {3, 6, 19}, {10, 76, 19}, {22, 168, 19}};
  private static final int[] VERSION_COUNTS = {10, 100, 1_000};
  private static final long WARM_UP_MILLIS = 60_000;
  private static final long MEASURED_SECONDS = 60;
  private static final long PROCESSOR_SECONDS = 600;
  private static final long TICK_MILLIS = 250;
  private static final int ENDPOINTS = 168;
  private static final int OWNERS = 22;
  private static final int OBJECT_COPIES = 200;
  private static final int MEMORY_GRANTS = 1_000;
  private static final long STARTED_AT_MILLIS = 1_764_800_000_000L;

  private OwnershipMeasurement() {}

  /**
   * Runs all measurements.
   *
   * @param arguments ignored
   */
  public static void main(String[] arguments) {
    for (int[] zone : ZONE_SIZES) {
      printTraffic(zone[0], zone[1], zone[2]);
      printProcessor(zone[0], zone[1], zone[2]);
    }
    for (int versions : VERSION_COUNTS) {
      printRenewals(versions);
    }
    printMemory("endpoint in a zone's ownership", ENDPOINTS, index -> zone());
    printMemory("grant in a cache", MEMORY_GRANTS, index -> cache(MEMORY_GRANTS));
    printMemory("grant in a ledger", MEMORY_GRANTS, index -> ledger(MEMORY_GRANTS));
  }

  private static void printTraffic(int hosts, int endpoints, int zones) {
    MeasuredZone zone = new MeasuredZone(hosts, endpoints, zones);
    zone.run(WARM_UP_MILLIS);
    zone.startCounting();
    zone.run(MEASURED_SECONDS * 1_000);
    double perHost = 1.0 / hosts / MEASURED_SECONDS;
    double bytes = 0;
    double messages = 0;
    for (Map.Entry<String, long[]> count : zone.counts().entrySet()) {
      messages += count.getValue()[0] * perHost;
      bytes += count.getValue()[1] * perHost;
      System.out.printf(
          "  %s %.2f messages/s %.0f bytes/s%n",
          count.getKey(), count.getValue()[0] * perHost, count.getValue()[1] * perHost);
    }
    System.out.printf(
        "%d hosts, %d endpoints, %d zones: %.2f messages/s %.0f bytes/s sent by each host%n",
        hosts, endpoints, zones, messages, bytes);
  }

  private static void printProcessor(int hosts, int endpoints, int zones) {
    MeasuredZone zone = new MeasuredZone(hosts, endpoints, zones);
    zone.run(WARM_UP_MILLIS);
    long before = processorNanos();
    zone.run(PROCESSOR_SECONDS * 1_000);
    double nanos = (double) (processorNanos() - before) / hosts / PROCESSOR_SECONDS;
    System.out.printf(
        "%d hosts, %d endpoints, %d zones: %.0f us of processor time per second and host, codec"
            + " excluded%n",
        hosts, endpoints, zones, nanos / 1_000);
  }

  private static void printRenewals(int versions) {
    MessageCodec codec = new MessageCodec(HostMessages.registry());
    GrantCache cache = new GrantCache(incarnation("gateway"), settings(), 0);
    List<GrantCommand> commands = acquire(cache, versions);
    long messages = 0;
    long bytes = 0;
    long startMillis = 2 * WARM_UP_MILLIS;
    long endMillis = startMillis + MEASURED_SECONDS * 1_000;
    for (long now = TICK_MILLIS; now < endMillis; now += TICK_MILLIS) {
      for (GrantCommand command : commands) {
        GrantRequest request = (GrantRequest) ((GrantCommand.Send) command).message();
        GrantReply reply = grant(((GrantCommand.Send) command).to(), request);
        cache.onMessage(reply, now);
        if (now >= startMillis) {
          messages += 2;
          bytes += codec.encode(request).length + codec.encode(reply).length;
        }
      }
      commands = cache.onTick(now);
    }
    System.out.printf(
        "%d versions in use on %d endpoints: %.2f messages/s %.0f bytes/s, both ways%n",
        versions,
        ENDPOINTS,
        (double) messages / MEASURED_SECONDS,
        (double) bytes / MEASURED_SECONDS);
  }

  private static void printMemory(String unit, int units, IntFunction<Object> factory) {
    List<Object> retained = new ArrayList<>();
    retained.add(factory.apply(0));
    long before = usedBytes();
    for (int index = 0; index < OBJECT_COPIES; index++) {
      retained.add(factory.apply(index));
    }
    long bytes = usedBytes() - before;
    System.out.printf(
        "%d bytes of heap for each %s (%d objects)%n",
        bytes / OBJECT_COPIES / units, unit, retained.size());
  }

  private static Object zone() {
    MeasuredZone zone = new MeasuredZone(1, ENDPOINTS, 1);
    zone.run(WARM_UP_MILLIS);
    return zone;
  }

  private static Object cache(int grants) {
    GrantCache cache = new GrantCache(incarnation("gateway"), settings(), 0);
    for (GrantCommand command : acquire(cache, grants)) {
      GrantCommand.Send send = (GrantCommand.Send) command;
      cache.onMessage(grant(send.to(), (GrantRequest) send.message()), 1);
    }
    return cache;
  }

  private static Object ledger(int grants) {
    GrantLedger ledger = new GrantLedger(new EndpointId("engine"), settings());
    for (int index = 0; index < grants; index++) {
      ledger.grant(incarnation("host-" + index % 420), index, version(index), 0);
    }
    return ledger;
  }

  private static List<GrantCommand> acquire(GrantCache cache, int versions) {
    List<GrantCommand> commands = new ArrayList<>();
    for (int index = 0; index < versions; index++) {
      EndpointId endpoint = new EndpointId("engine-" + index % ENDPOINTS);
      HostId owner = new HostId("host-" + index % ENDPOINTS % OWNERS);
      RequestId request = new RequestId(incarnation("gateway"), index);
      commands.addAll(cache.acquire(request, endpoint, version(index), owner, 0));
    }
    return commands;
  }

  private static GrantReply grant(HostId owner, GrantRequest request) {
    List<GrantAnswer> answers = new ArrayList<>();
    for (EndpointDemand endpointDemand : request.endpointDemands()) {
      for (GrantDemand demand : endpointDemand.demands()) {
        answers.add(
            GrantAnswer.granted(
                endpointDemand.endpoint(), demand.version(), settings().grantMillis()));
      }
    }
    return new GrantReply(incarnation(owner.value()), request.sequence(), answers);
  }

  private static GrantSettings settings() {
    return GrantSettings.defaults(2 * WARM_UP_MILLIS);
  }

  private static AdapterVersion version(int index) {
    return new AdapterVersion(new AdapterId("adapter-" + index), 1);
  }

  private static HostIncarnation incarnation(String host) {
    return new HostIncarnation(new HostId(host), STARTED_AT_MILLIS);
  }

  private static long processorNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long usedBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
