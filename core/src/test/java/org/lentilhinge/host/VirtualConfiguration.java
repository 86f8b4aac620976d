package org.lentilhinge.host;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.lentilhinge.configuration.Adapter;
import org.lentilhinge.configuration.Caller;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.configuration.Policy;
import org.lentilhinge.configuration.StoreBudget;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.configuration.Zone;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.routing.ClassifiedRequest;

/**
 * A configuration of two zones with three and two hosts, four engines with few adapter slots, and
 * ten adapters.
 */
final class VirtualConfiguration {

  static final int ADAPTERS = 10;
  private static final ZoneId NORTH = new ZoneId("north");
  private static final ZoneId SOUTH = new ZoneId("south");
  private static final BaseModelId MODEL = new BaseModelId("base");
  private static final CallerId CALLER = new CallerId("caller");
  private static final long BYTES = 40_000_000;

  private VirtualConfiguration() {}

  static List<ListedHost> hosts() {
    return List.of(
        host("north-a", NORTH),
        host("north-b", NORTH),
        host("north-c", NORTH),
        host("south-a", SOUTH),
        host("south-b", SOUTH));
  }

  static Configuration of(long version) {
    Map<AdapterId, Adapter> adapters = new HashMap<>();
    IntStream.range(0, ADAPTERS)
        .mapToObj(VirtualConfiguration::adapterId)
        .forEach(id -> adapters.put(id, new Adapter(id, MODEL, (int) version, BYTES)));
    Map<EndpointId, Engine> engines = new HashMap<>();
    for (Engine engine :
        List.of(
            engine("engine-north-1", NORTH, FencingSupport.IGNORED),
            engine("engine-north-2", NORTH, FencingSupport.CHECKED),
            engine("engine-south-1", SOUTH, FencingSupport.IGNORED),
            engine("engine-south-2", SOUTH, FencingSupport.CHECKED))) {
      engines.put(engine.id(), engine);
    }
    return new Configuration(
        new ConfigurationVersion(version),
        Map.of(
            NORTH, new Zone(NORTH, new RegionId("land")),
            SOUTH, new Zone(SOUTH, new RegionId("land"))),
        adapters,
        Map.of(CALLER, new Caller(CALLER, "0".repeat(64), 1, 1_000)),
        List.of(),
        engines,
        Map.of(),
        new StoreBudget(4, 8, Map.of(NORTH, 1, SOUTH, 1)),
        new Policy(1, 1, 5_000, 5_000));
  }

  static ClassifiedRequest request(int adapter, long version) {
    AdapterVersion requested = new AdapterVersion(adapterId(adapter), (int) version);
    return new ClassifiedRequest(CALLER, "rule", requested, MODEL, BYTES, Urgency.NORMAL);
  }

  private static AdapterId adapterId(int number) {
    return new AdapterId("adapter-" + number);
  }

  private static ListedHost host(String name, ZoneId zone) {
    return new ListedHost(new HostId(name), zone, "127.0.0.1:1", false);
  }

  private static Engine engine(String name, ZoneId zone, FencingSupport fencing) {
    return new Engine(new EndpointId(name), zone, "127.0.0.1:1", MODEL, 3, 8, fencing);
  }
}
