package org.lentilhinge.grant;

import java.util.List;
import org.lentilhinge.identity.EndpointId;

/**
 * The grants of a gateway on one endpoint.
 *
 * @param endpoint the endpoint
 * @param grants the grants
 */
public record EndpointGrants(EndpointId endpoint, List<HeldGrant> grants) {

  /**
   * Copies the list.
   *
   * @param endpoint the endpoint
   * @param grants the grants
   */
  public EndpointGrants {
    grants = List.copyOf(grants);
  }
}
