package org.lentilhinge.grant;

import java.util.List;
import org.lentilhinge.identity.EndpointId;

/**
 * The versions on one endpoint for which a gateway requests grants.
 *
 * @param endpoint the endpoint
 * @param demands the requested versions
 */
public record EndpointDemand(EndpointId endpoint, List<GrantDemand> demands) {

  /**
   * Copies the list.
   *
   * @param endpoint the endpoint
   * @param demands the requested versions
   */
  public EndpointDemand {
    demands = List.copyOf(demands);
  }
}
