package org.lentilhinge.routing;

import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.identity.EndpointId;

/**
 * A request to be routed to an endpoint.
 *
 * @param classified the classified request
 * @param excluded the endpoints that declined the request or failed to run it
 * @param promptPrefix a fingerprint of the first tokens of the prompt, if known
 * @param deadlineMillis the monotonic time by which the request must have started, in milliseconds
 */
public record RoutingRequest(
    ClassifiedRequest classified,
    Set<EndpointId> excluded,
    OptionalLong promptPrefix,
    long deadlineMillis) {

  /**
   * Copies the excluded endpoints.
   *
   * @param classified the classified request
   * @param excluded the excluded endpoints
   * @param promptPrefix a fingerprint of the first tokens of the prompt
   * @param deadlineMillis the deadline
   */
  public RoutingRequest {
    excluded = Set.copyOf(excluded);
  }
}
