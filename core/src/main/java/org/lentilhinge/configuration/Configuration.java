package org.lentilhinge.configuration;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.ServiceId;
import org.lentilhinge.identity.ZoneId;

/**
 * The complete desired configuration of one version. Instances are immutable.
 *
 * @param version the version
 * @param zones the availability zones
 * @param adapters the adapters
 * @param callers the callers
 * @param rules the rules in the order in which they are evaluated
 * @param engines the model engines
 * @param services the plain services
 * @param storeBudget the budget of the weight store
 * @param policy the targets of routing and placement
 */
public record Configuration(
    ConfigurationVersion version,
    Map<ZoneId, Zone> zones,
    Map<AdapterId, Adapter> adapters,
    Map<CallerId, Caller> callers,
    List<Rule> rules,
    Map<EndpointId, Engine> engines,
    Map<ServiceId, Service> services,
    StoreBudget storeBudget,
    Policy policy) {

  /**
   * Creates a configuration with copies of the collections.
   *
   * @param version the version
   * @param zones the zones
   * @param adapters the adapters
   * @param callers the callers
   * @param rules the rules
   * @param engines the engines
   * @param services the services
   * @param storeBudget the store budget
   * @param policy the policy
   */
  public Configuration {
    zones = Map.copyOf(zones);
    adapters = Map.copyOf(adapters);
    callers = Map.copyOf(callers);
    rules = List.copyOf(rules);
    engines = Map.copyOf(engines);
    services = Map.copyOf(services);
  }

  /**
   * Returns an adapter.
   *
   * @param id the adapter's identifier
   * @return the adapter's declaration, or empty if it is not declared
   */
  public Optional<Adapter> adapter(AdapterId id) {
    return Optional.ofNullable(adapters.get(id));
  }

  /**
   * Returns an engine.
   *
   * @param id the identifier of the engine's endpoint
   * @return the engine's declaration, or empty if it is not declared
   */
  public Optional<Engine> engine(EndpointId id) {
    return Optional.ofNullable(engines.get(id));
  }

  /**
   * Returns the engines of an availability zone.
   *
   * @param zone the zone
   * @return the engines, sorted by name
   */
  public List<Engine> enginesOf(ZoneId zone) {
    return sorted(engines.values()).stream().filter(engine -> engine.zone().equals(zone)).toList();
  }

  private static List<Engine> sorted(Collection<Engine> engines) {
    return engines.stream().sorted((left, right) -> left.id().compareTo(right.id())).toList();
  }
}
