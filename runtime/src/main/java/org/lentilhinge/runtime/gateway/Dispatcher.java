package org.lentilhinge.runtime.gateway;

import io.reactivex.rxjava3.core.Single;
import org.lentilhinge.identity.RequestId;

/**
 * Assigns endpoints to attempts and manages the grants for their use. The entry host provides the
 * production implementation; {@link LeastLoadedDispatcher} is a simple baseline.
 */
public interface Dispatcher {

  /**
   * Assigns an attempt an endpoint on which its adapter version is resident and protected from
   * eviction. The gateway never disposes of the subscription, and reports each assignment as ended
   * exactly once.
   *
   * @param request the attempt and its constraints
   * @return the assignment; fails with an {@link AssignmentException} if no endpoint can be
   *     assigned, in which case nothing was run
   */
  Single<Assignment> assign(AssignmentRequest request);

  /**
   * Returns whether the grant is still valid. Called immediately before the bytes of the attempt
   * are written.
   *
   * @param assignment the assignment
   * @return false if the attempt must be withheld; it then ends as not run
   */
  boolean mayDispatch(Assignment assignment);

  /**
   * Handles the end of an attempt.
   *
   * @param assignment the assignment
   * @param outcome how the attempt ended
   */
  void onAttemptEnded(Assignment assignment, AttemptOutcome outcome);

  /**
   * Handles the end of a request, which needs no further attempt because its response is complete
   * or its caller has disconnected.
   *
   * @param request the request
   */
  void onRequestFinished(RequestId request);
}
