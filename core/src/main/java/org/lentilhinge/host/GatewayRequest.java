package org.lentilhinge.host;

import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.routing.ClassifiedRequest;

/**
 * A request that needs an endpoint.
 *
 * @param id the request id
 * @param attempt the number of the attempt, starting at 1; later attempts are not queued again
 * @param classified the classified request, with its adapter version
 * @param excluded the endpoints on which the request has failed
 * @param promptPrefix a fingerprint of the beginning of the prompt, if known
 * @param deadlineAtMillis the monotonic time by which the request must have started, in
 *     milliseconds
 */
public record GatewayRequest(
    RequestId id,
    int attempt,
    ClassifiedRequest classified,
    Set<EndpointId> excluded,
    OptionalLong promptPrefix,
    long deadlineAtMillis) {

  /**
   * Copies the excluded endpoints.
   *
   * @param id the request id
   * @param attempt the number of the attempt
   * @param classified the classified request
   * @param excluded the excluded endpoints
   * @param promptPrefix the fingerprint of the prompt
   * @param deadlineAtMillis the deadline
   */
  public GatewayRequest {
    excluded = Set.copyOf(excluded);
  }
}
