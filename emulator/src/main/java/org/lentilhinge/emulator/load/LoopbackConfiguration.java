package org.lentilhinge.emulator.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.lentilhinge.configuration.Adapter;
import org.lentilhinge.configuration.Caller;
import org.lentilhinge.configuration.Condition;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.configuration.Policy;
import org.lentilhinge.configuration.Rule;
import org.lentilhinge.configuration.Service;
import org.lentilhinge.configuration.ServiceCall;
import org.lentilhinge.configuration.ServiceInstance;
import org.lentilhinge.configuration.StoreBudget;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.configuration.Zone;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ServiceId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.runtime.gateway.CallerAuthenticator;

/** Creates a configuration of two callers, two adapters, one service and any number of engines. */
final class LoopbackConfiguration {

  private static final ZoneId ZONE = new ZoneId("sofia-1");
  private static final BaseModelId BASE_MODEL = new BaseModelId("base-8b");
  private static final CallerId WATER = new CallerId("water-utility");
  private static final CallerId COUNTER = new CallerId("counter-bilbao");
  private static final AdapterId DRAINS = new AdapterId("drains-sofia");
  private static final AdapterId DIMMERS = new AdapterId("dimmers-bilbao");
  private static final int ADAPTER_SLOTS = 4;
  private static final long ADAPTER_BYTES = 40_000_000;

  private LoopbackConfiguration() {}

  static Configuration of(LoopbackSettings settings, List<Integer> enginePorts, int servicePort) {
    return new Configuration(
        new ConfigurationVersion(1),
        Map.of(ZONE, new Zone(ZONE, new RegionId("sofia"))),
        Map.of(DRAINS, adapter(DRAINS, 3), DIMMERS, adapter(DIMMERS, 1)),
        Map.of(
            WATER, caller(WATER, LoopbackHost.WATER_KEY, settings),
            COUNTER, caller(COUNTER, LoopbackHost.COUNTER_KEY, settings)),
        rules(),
        engines(settings, enginePorts),
        services(settings, servicePort),
        new StoreBudget(2, 8, Map.of(ZONE, 1)),
        new Policy(1, 1, 2_000, 60_000));
  }

  private static Adapter adapter(AdapterId id, int version) {
    return new Adapter(id, BASE_MODEL, version, ADAPTER_BYTES);
  }

  private static Caller caller(CallerId id, String key, LoopbackSettings settings) {
    return new Caller(id, CallerAuthenticator.digest(key), 1, settings.callerConcurrency());
  }

  private static List<Rule> rules() {
    return List.of(
        new Rule(
            "water-reports",
            WATER,
            List.of(new Condition("model", "reports")),
            DRAINS,
            OptionalInt.empty(),
            Urgency.NORMAL),
        new Rule("bilbao-dimmers", COUNTER, List.of(), DIMMERS, OptionalInt.of(2), Urgency.URGENT));
  }

  private static Map<EndpointId, Engine> engines(LoopbackSettings settings, List<Integer> ports) {
    Map<EndpointId, Engine> engines = new HashMap<>();
    for (int index = 0; index < ports.size(); index++) {
      EndpointId id = LoopbackHost.engineId(index);
      engines.put(
          id,
          new Engine(
              id,
              ZONE,
              "127.0.0.1:" + ports.get(index),
              BASE_MODEL,
              ADAPTER_SLOTS,
              settings.batchSlots(),
              FencingSupport.CHECKED));
    }
    return engines;
  }

  private static Map<ServiceId, Service> services(LoopbackSettings settings, int port) {
    ServiceId id = new ServiceId("work-orders");
    ServiceInstance instance =
        new ServiceInstance(new EndpointId("work-orders-1"), ZONE, "127.0.0.1:" + port);
    List<ServiceCall> calls =
        List.of(new ServiceCall("GET", "/", true), new ServiceCall("POST", "/orders", false));
    return Map.of(
        id,
        new Service(id, ZONE, List.of(instance), calls, Set.of(WATER), settings.deduplication()));
  }
}
