package org.lentilhinge.runtime.platform;

import java.util.List;
import org.lentilhinge.membership.ListedHost;

/**
 * The platform's list of hosts and endpoints. The list lags behind the actual state.
 *
 * @param hosts the entry hosts
 * @param endpoints the model engines and the instances of plain services
 */
public record HostListing(List<ListedHost> hosts, List<ListedEndpoint> endpoints) {

  /**
   * Makes immutable copies of the lists.
   *
   * @param hosts the entry hosts
   * @param endpoints the endpoints
   */
  public HostListing {
    hosts = List.copyOf(hosts);
    endpoints = List.copyOf(endpoints);
  }
}
