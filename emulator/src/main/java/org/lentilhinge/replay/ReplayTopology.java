package org.lentilhinge.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.lentilhinge.configuration.Adapter;
import org.lentilhinge.configuration.Caller;
import org.lentilhinge.configuration.Condition;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.configuration.Rule;
import org.lentilhinge.configuration.StoreBudget;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.configuration.Zone;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.routing.LinkCosts;

/**
 * Defines the users' fleet: three zones in two regions, two engines per zone, eight entry hosts.
 */
final class ReplayTopology {

  static final int ENGINE_COUNT = 6;
  static final RegionId NEAR = new RegionId("near");
  static final RegionId FAR = new RegionId("far");
  static final List<ZoneId> ZONES =
      List.of(new ZoneId("near-1"), new ZoneId("near-2"), new ZoneId("far-1"));
  static final ZoneId LOST_ZONE = ZONES.get(1);

  private static final double LOADS_PER_SECOND = 2.5;
  private static final int MAXIMUM_LOADS_IN_FLIGHT = 8;
  private static final int[] HOSTS_BY_ZONE = {3, 3, 2};
  private static final int[] STORE_SHARES = {3, 3, 2};
  private static final BaseModelId MODEL = new BaseModelId("base");
  private static final long INTER_REGION_LATENCY_MILLIS = 30;
  private static final long INTRA_REGION_LATENCY_MILLIS = 1;
  static final long BYTES_PER_RESPONSE_TOKEN = 220;
  static final long BYTES_PER_PROMPT_TOKEN = 4;

  private static final double RESIDENCY_SECONDS = 28_800;
  private static final long LINK_BYTES_PER_SECOND = 2_500_000;
  private static final int MAXIMUM_CALLER_REQUESTS = 10_000;

  private ReplayTopology() {}

  static RegionId regionOf(ZoneId zone) {
    return zone.equals(ZONES.get(2)) ? FAR : NEAR;
  }

  static long latencyMillis(ZoneId from, ZoneId to) {
    return regionOf(from).equals(regionOf(to))
        ? INTRA_REGION_LATENCY_MILLIS
        : INTER_REGION_LATENCY_MILLIS;
  }

  static Map<HostId, ZoneId> hosts() {
    Map<HostId, ZoneId> hosts = new LinkedHashMap<>();
    for (int zone = 0; zone < ZONES.size(); zone++) {
      for (int host = 1; host <= HOSTS_BY_ZONE[zone]; host++) {
        hosts.put(new HostId(ZONES.get(zone) + "-host-" + host), ZONES.get(zone));
      }
    }
    return hosts;
  }

  static LinkCosts linkCosts(Workload workload) {
    long requestBytes = (long) (BYTES_PER_RESPONSE_TOKEN * workload.outputTokens());
    return new LinkCosts(Optional.of(NEAR), LINK_BYTES_PER_SECOND, requestBytes, RESIDENCY_SECONDS);
  }

  static AdapterId adapter(int index) {
    return new AdapterId("adapter-" + index);
  }

  static Configuration configuration(Workload workload, List<WorkloadCaller> adapterCallers) {
    Map<ZoneId, Zone> zones = new HashMap<>();
    ZONES.forEach(zone -> zones.put(zone, new Zone(zone, regionOf(zone))));
    Map<CallerId, Caller> callers = new HashMap<>();
    for (WorkloadCaller caller : workload.callers()) {
      CallerId id = new CallerId(caller.name());
      callers.put(id, new Caller(id, "0".repeat(64), 1, MAXIMUM_CALLER_REQUESTS));
    }
    Map<AdapterId, Adapter> adapters = new HashMap<>();
    List<Rule> rules = new ArrayList<>();
    for (int index = 0; index < adapterCallers.size(); index++) {
      AdapterId id = adapter(index);
      adapters.put(id, new Adapter(id, MODEL, 1, workload.adapterBytes()));
      rules.add(rule(id, index, adapterCallers.get(index)));
    }
    return new Configuration(
        new ConfigurationVersion(1),
        zones,
        adapters,
        callers,
        rules,
        engines(workload.engine()),
        Map.of(),
        storeBudget(),
        workload.policy());
  }

  private static Rule rule(AdapterId adapter, int index, WorkloadCaller caller) {
    double position = (index * 0.6180339887) % 1.0;
    Urgency urgency = Urgency.NORMAL;
    if (position < caller.urgentFraction()) {
      urgency = Urgency.URGENT;
    } else if (position > 1 - caller.backgroundFraction()) {
      urgency = Urgency.BACKGROUND;
    }
    return new Rule(
        "rule-" + index,
        new CallerId(caller.name()),
        List.of(new Condition("model", adapter.value())),
        adapter,
        OptionalInt.empty(),
        urgency);
  }

  private static Map<EndpointId, Engine> engines(EngineModel model) {
    Map<EndpointId, Engine> engines = new HashMap<>();
    for (int index = 0; index < ENGINE_COUNT; index++) {
      ZoneId zone = ZONES.get(index / 2);
      EndpointId id = new EndpointId(zone + "-engine-" + (index % 2 + 1));
      Engine engine =
          new Engine(
              id,
              zone,
              "127.0.0.1:" + (9000 + index),
              MODEL,
              model.adapterSlots(),
              model.batchSlots(),
              FencingSupport.CHECKED);
      engines.put(id, engine);
    }
    return engines;
  }

  private static StoreBudget storeBudget() {
    Map<ZoneId, Integer> shares = new HashMap<>();
    for (int zone = 0; zone < ZONES.size(); zone++) {
      shares.put(ZONES.get(zone), STORE_SHARES[zone]);
    }
    return new StoreBudget(LOADS_PER_SECOND, MAXIMUM_LOADS_IN_FLIGHT, shares);
  }
}
