package org.lentilhinge.host;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lentilhinge.identity.EndpointId;

/** Holds the engines that this host owns, sorted by their ids. */
final class OwnedEngines {

  private final Map<EndpointId, OwnedEngine> engines = new TreeMap<>();

  Optional<OwnedEngine> find(EndpointId endpoint) {
    return Optional.ofNullable(engines.get(endpoint));
  }

  Collection<OwnedEngine> all() {
    return Collections.unmodifiableCollection(engines.values());
  }

  void add(OwnedEngine engine) {
    engines.put(engine.endpoint(), engine);
  }

  void remove(EndpointId endpoint) {
    engines.remove(endpoint);
  }

  int ordersInFlight() {
    return engines.values().stream().mapToInt(OwnedEngine::ordersInFlight).sum();
  }
}
