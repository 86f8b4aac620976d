package org.lentilhinge.forward;

import java.util.List;
import java.util.Map;
import org.lentilhinge.customer.DeclaredCustomers;
import org.lentilhinge.identity.DeclaredVersion;

/**
 * A complete configuration of the forwarding path.
 *
 * @param version the version, which only increases on a host
 * @param routes all routes
 * @param services the services, by name
 * @param limits the limits on what callers may send
 * @param customers the customers
 */
public record ForwardConfiguration(
    DeclaredVersion version,
    List<ForwardRoute> routes,
    Map<String, ForwardService> services,
    ForwardLimits limits,
    DeclaredCustomers customers) {

  /**
   * Copies the collections.
   *
   * @param version the version
   * @param routes the routes
   * @param services the services
   * @param limits the limits
   * @param customers the customers
   */
  public ForwardConfiguration {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
  }

  /**
   * Creates a configuration that declares no customers.
   *
   * @param version the version
   * @param routes the routes
   * @param services the services
   * @param limits the limits
   */
  public ForwardConfiguration(
      DeclaredVersion version,
      List<ForwardRoute> routes,
      Map<String, ForwardService> services,
      ForwardLimits limits) {
    this(version, routes, services, limits, DeclaredCustomers.NONE);
  }
}
