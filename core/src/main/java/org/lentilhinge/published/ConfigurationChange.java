package org.lentilhinge.published;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.customer.DeclaredCustomers;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.identity.DeclaredVersion;

/**
 * The difference between two configurations. Its size depends on the routes that have changed and
 * not on the number of all routes, of which there may be thousands.
 *
 * @param baseVersion the version to which the change applies
 * @param version the version that results
 * @param keptFirst the number of routes that are kept at the beginning of the list
 * @param keptLast the number of routes that are kept at the end of the list
 * @param routes the routes between these
 * @param services all services
 * @param limits the limits
 * @param customers the customers; empty if the sender is of a build that does not know them
 */
public record ConfigurationChange(
    DeclaredVersion baseVersion,
    DeclaredVersion version,
    int keptFirst,
    int keptLast,
    List<ForwardRoute> routes,
    Map<String, ForwardService> services,
    ForwardLimits limits,
    Optional<DeclaredCustomers> customers) {

  /**
   * Copies the collections.
   *
   * @param baseVersion the version to which the change applies
   * @param version the version that results
   * @param keptFirst the number of kept routes at the beginning
   * @param keptLast the number of kept routes at the end
   * @param routes the routes between these
   * @param services the services
   * @param limits the limits
   * @param customers the customers
   */
  public ConfigurationChange {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
  }

  /**
   * Computes the change from one configuration to another.
   *
   * @param base the former configuration
   * @param next the new configuration
   * @return the change
   */
  public static ConfigurationChange between(ForwardConfiguration base, ForwardConfiguration next) {
    List<ForwardRoute> former = base.routes();
    List<ForwardRoute> routes = next.routes();
    int shorter = Math.min(former.size(), routes.size());
    int first = 0;
    while (first < shorter && former.get(first).equals(routes.get(first))) {
      first++;
    }
    int last = 0;
    while (last < shorter - first
        && former.get(former.size() - 1 - last).equals(routes.get(routes.size() - 1 - last))) {
      last++;
    }
    return new ConfigurationChange(
        base.version(),
        next.version(),
        first,
        last,
        routes.subList(first, routes.size() - last),
        next.services(),
        next.limits(),
        Optional.of(next.customers()));
  }

  /**
   * Applies the change.
   *
   * @param base the configuration that this host knows
   * @return the resulting configuration, or empty if the change does not apply to the base or does
   *     not state the customers, so that the configuration has to be read
   */
  public Optional<ForwardConfiguration> applyTo(ForwardConfiguration base) {
    List<ForwardRoute> former = base.routes();
    boolean applicable = base.version().equals(baseVersion) && customers.isPresent();
    if (!applicable || keptFirst + keptLast > former.size()) {
      return Optional.empty();
    }
    List<ForwardRoute> result = new ArrayList<>(former.subList(0, keptFirst));
    result.addAll(routes);
    result.addAll(former.subList(former.size() - keptLast, former.size()));
    return Optional.of(
        new ForwardConfiguration(version, result, services, limits, customers.get()));
  }
}
