package org.lentilhinge.benchmarks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
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
import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ZoneId;

/** Creates a configuration with any number of adapters and engines and one rule per adapter. */
final class SampleConfiguration {

  static final int ADAPTER_SLOTS = 64;
  static final ZoneId ZONE = new ZoneId("zone-0");

  private static final int ADAPTERS_PER_CALLER = 60;
  private static final int ENGINES_PER_ZONE = 168;
  private static final int BATCH_SLOTS = 64;
  private static final BaseModelId MODEL = new BaseModelId("base");
  private static final RegionId REGION = new RegionId("region");

  private SampleConfiguration() {}

  static CallerId caller(int adapter) {
    return new CallerId("caller-" + adapter / ADAPTERS_PER_CALLER);
  }

  static AdapterId adapter(int number) {
    return new AdapterId("adapter-" + number);
  }

  static EndpointId engine(int number) {
    return new EndpointId("engine-" + number);
  }

  static Configuration of(int adapterCount, int engineCount) {
    Map<AdapterId, Adapter> adapters = new HashMap<>();
    Map<CallerId, Caller> callers = new HashMap<>();
    List<Rule> rules = new ArrayList<>();
    for (int number = 0; number < adapterCount; number++) {
      AdapterId id = adapter(number);
      adapters.put(id, new Adapter(id, MODEL, 1, 8_000_000));
      callers.computeIfAbsent(
          caller(number), caller -> new Caller(caller, "0".repeat(64), 1, 1_000));
      rules.add(
          new Rule(
              "rule-" + number,
              caller(number),
              List.of(new Condition("model", id.value())),
              id,
              OptionalInt.empty(),
              Urgency.NORMAL));
    }
    return new Configuration(
        new ConfigurationVersion(1),
        zones(engineCount),
        adapters,
        callers,
        rules,
        engines(engineCount),
        Map.of(),
        new StoreBudget(2.5, 8, Map.of(ZONE, 1)),
        new Policy(3, 1, 20_000, 120_000));
  }

  private static Map<ZoneId, Zone> zones(int engineCount) {
    Map<ZoneId, Zone> zones = new HashMap<>();
    for (int engine = 0; engine < engineCount; engine += ENGINES_PER_ZONE) {
      ZoneId zone = new ZoneId("zone-" + engine / ENGINES_PER_ZONE);
      zones.put(zone, new Zone(zone, REGION));
    }
    return zones;
  }

  private static Map<EndpointId, Engine> engines(int engineCount) {
    Map<EndpointId, Engine> engines = new HashMap<>();
    for (int number = 0; number < engineCount; number++) {
      ZoneId zone = new ZoneId("zone-" + number / ENGINES_PER_ZONE);
      Engine engine =
          new Engine(
              engine(number),
              zone,
              "127.0.0.1:9000",
              MODEL,
              ADAPTER_SLOTS,
              BATCH_SLOTS,
              FencingSupport.CHECKED);
      engines.put(engine.id(), engine);
    }
    return engines;
  }
}
