package org.lentilhinge.runtime.gateway;

import io.vertx.core.json.JsonObject;

/** Reports the readiness and status of a host. */
public interface HostStatus {

  /**
   * Returns whether the platform's load balancer may send callers to this host.
   *
   * @return whether the host is ready
   */
  boolean isReady();

  /**
   * Describes the state of the host and its view of the fleet.
   *
   * @return the body of the response to {@code /status}
   */
  JsonObject report();
}
