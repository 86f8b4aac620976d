package org.lentilhinge.runtime.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.demand.AdapterLoad;
import org.lentilhinge.demand.FleetDemand;
import org.lentilhinge.demand.PreferredEngines;
import org.lentilhinge.fleet.FleetEndpoint;

/** Has the engines that this host owns load the adapters whose demand needs several engines. */
final class AheadLoader {

  private final HostState state;

  AheadLoader(HostState state) {
    this.state = state;
  }

  /** Loads on each engine the most requested adapters for which it is a preferred engine. */
  void load(Collection<OwnedEngineRunner> runners, long nowMillis) {
    List<AdapterLoad> spread = state.engineSelector().demand().spread(nowMillis);
    if (spread.isEmpty()) {
      return;
    }
    Map<String, List<String>> preferred = new HashMap<>();
    for (OwnedEngineRunner runner : runners) {
      if (runner.isOwner()) {
        load(runner, spread, preferred);
      }
    }
  }

  private void load(
      OwnedEngineRunner runner, List<AdapterLoad> spread, Map<String, List<String>> preferred) {
    FleetEndpoint engine = runner.engine();
    String prefix = AdapterLoad.qualify(engine.service(), "");
    for (AdapterLoad demand : spread) {
      if (!demand.adapter().startsWith(prefix)) {
        continue;
      }
      String adapter = demand.adapter().substring(prefix.length());
      int count = FleetDemand.engines(demand);
      List<String> engines =
          preferred.computeIfAbsent(
              demand.adapter(),
              unused ->
                  PreferredEngines.first(
                      state.endpoints().usableEndpoints(engine.service()), adapter, count));
      if (engines.contains(engine.incarnation())) {
        runner.loadAhead(
            new AdapterLoad(adapter, demand.requestsPerSecond() / count, demand.load() / count));
      }
    }
  }
}
