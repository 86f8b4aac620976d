package org.lentilhinge.grant;

import java.util.List;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;

/**
 * A list of adapter versions on an endpoint.
 *
 * @param endpoint the endpoint
 * @param versions the versions
 */
public record EndpointVersions(EndpointId endpoint, List<AdapterVersion> versions) {

  /**
   * Copies the list.
   *
   * @param endpoint the endpoint
   * @param versions the versions
   */
  public EndpointVersions {
    versions = List.copyOf(versions);
  }
}
