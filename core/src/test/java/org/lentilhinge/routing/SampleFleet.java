package org.lentilhinge.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.configuration.Adapter;
import org.lentilhinge.configuration.Caller;
import org.lentilhinge.configuration.Condition;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.configuration.Policy;
import org.lentilhinge.configuration.Rule;
import org.lentilhinge.configuration.StoreBudget;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.configuration.Zone;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.placement.EngineAnnouncement;

/**
 * Creates a sample configuration of three zones in two regions, with two engines in each zone, for
 * tests.
 */
public final class SampleFleet {

  /** The number of batch slots of each engine. */
  public static final int BATCH_SLOTS = 4;

  /** A policy that weighs load stalls higher than batch efficiency. */
  public static final Policy STALL_WEIGHTED_POLICY = new Policy(3, 1, 20_000, 120_000);

  /** A policy that weighs batch efficiency higher than load stalls. */
  public static final Policy BATCH_WEIGHTED_POLICY = new Policy(1, 3, 20_000, 120_000);

  static final ZoneId NEAR_ZONE = new ZoneId("near-1");
  static final ZoneId FAR_ZONE = new ZoneId("far-1");
  static final LinkCosts LINK =
      new LinkCosts(Optional.of(new RegionId("near")), 2_500_000, 60_000, 28_800);

  private static final BaseModelId MODEL = new BaseModelId("base");
  private static final long ADAPTER_BYTES = 8_000_000;

  private final Map<EndpointId, Long> sequences = new HashMap<>();

  /**
   * Creates the declaration of an engine.
   *
   * @param name its name
   * @param zone its zone
   * @param adapterSlots the number of its adapter slots
   * @return the engine
   */
  public static Engine engine(String name, String zone, int adapterSlots) {
    return new Engine(
        new EndpointId(name),
        new ZoneId(zone),
        "127.0.0.1:9000",
        MODEL,
        adapterSlots,
        BATCH_SLOTS,
        FencingSupport.CHECKED);
  }

  /**
   * Returns the first version of an adapter.
   *
   * @param adapter the adapter
   * @return the version
   */
  public static AdapterVersion version(String adapter) {
    return new AdapterVersion(new AdapterId(adapter), 1);
  }

  static Configuration configuration(Policy policy, List<Rule> rules) {
    Map<ZoneId, Zone> zones = new HashMap<>();
    Map<EndpointId, Engine> engines = new HashMap<>();
    Map<ZoneId, Integer> shares = new HashMap<>();
    for (String zone : List.of("near-1", "near-2", "far-1")) {
      ZoneId id = new ZoneId(zone);
      zones.put(id, new Zone(id, new RegionId(zone.substring(0, zone.indexOf('-')))));
      shares.put(id, 1);
      for (String number : List.of("a", "b")) {
        Engine engine = engine(zone + number, zone, 2);
        engines.put(engine.id(), engine);
      }
    }
    Map<AdapterId, Adapter> adapters = new HashMap<>();
    Map<CallerId, Caller> callers = new HashMap<>();
    for (Rule rule : rules) {
      adapters.put(rule.adapter(), new Adapter(rule.adapter(), MODEL, 2, ADAPTER_BYTES));
      callers.put(rule.caller(), new Caller(rule.caller(), "0".repeat(64), 1, 100));
    }
    return new Configuration(
        new ConfigurationVersion(1),
        zones,
        adapters,
        callers,
        rules,
        engines,
        Map.of(),
        new StoreBudget(2.5, 8, shares),
        policy);
  }

  static Rule rule(String name, String caller, String adapter, String model) {
    List<Condition> conditions = new ArrayList<>();
    if (!model.isEmpty()) {
      conditions.add(new Condition("model", model));
    }
    return new Rule(
        name,
        new CallerId(caller),
        conditions,
        new AdapterId(adapter),
        OptionalInt.empty(),
        Urgency.NORMAL);
  }

  static RoutingRequest request(String adapter, String... excluded) {
    ClassifiedRequest classified =
        new ClassifiedRequest(
            new CallerId("caller"), "rule", version(adapter), MODEL, ADAPTER_BYTES, Urgency.NORMAL);
    Set<EndpointId> endpoints = new HashSet<>();
    for (String name : excluded) {
      endpoints.add(new EndpointId(name));
    }
    return new RoutingRequest(classified, endpoints, OptionalLong.empty(), 20_000);
  }

  /** Creates the next complete announcement of an engine. */
  EngineAnnouncement announcement(
      String engine, Set<AdapterVersion> resident, Set<AdapterVersion> loading, int running) {
    return announcement(engine, resident, loading, running, 0, false);
  }

  EngineAnnouncement announcement(
      String engine,
      Set<AdapterVersion> resident,
      Set<AdapterVersion> loading,
      int running,
      long loadWaitMillis,
      boolean leaving) {
    EndpointId id = new EndpointId(engine);
    long sequence = sequences.merge(id, 1L, Long::sum);
    return new EngineAnnouncement(
        id, 1, sequence, true, resident, Set.of(), loading, running, 0, 0, loadWaitMillis, leaving);
  }
}
