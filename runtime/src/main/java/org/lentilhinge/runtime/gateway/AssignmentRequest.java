package org.lentilhinge.runtime.gateway;

import java.util.Set;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.EndpointId;

/**
 * A request for an endpoint to run one attempt on.
 *
 * @param attempt the attempt
 * @param caller the caller
 * @param adapter the adapter version to run on
 * @param urgency the urgency of the request
 * @param triedEndpoints the endpoints on which an earlier attempt of the request has failed
 * @param deadlineAtMillis the time by which an endpoint must be assigned, on the host's monotonic
 *     clock, in milliseconds
 */
public record AssignmentRequest(
    AttemptId attempt,
    CallerId caller,
    AdapterVersion adapter,
    Urgency urgency,
    Set<EndpointId> triedEndpoints,
    long deadlineAtMillis) {

  /**
   * Copies the set of endpoints.
   *
   * @param attempt the attempt
   * @param caller the caller
   * @param adapter the adapter version
   * @param urgency the urgency
   * @param triedEndpoints the endpoints on which an earlier attempt has failed
   * @param deadlineAtMillis the deadline
   */
  public AssignmentRequest {
    triedEndpoints = Set.copyOf(triedEndpoints);
  }
}
