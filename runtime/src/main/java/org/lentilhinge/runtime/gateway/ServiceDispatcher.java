package org.lentilhinge.runtime.gateway;

import io.reactivex.rxjava3.core.Single;
import org.lentilhinge.runtime.service.ServiceAttemptResult;

/**
 * Runs calls of plain services. The entry host's implementation runs non-repeatable calls through
 * the partition owners of their idempotency keys; {@link RoundRobinServiceDispatcher} is a simple
 * baseline that does not store keys.
 */
@FunctionalInterface
public interface ServiceDispatcher {

  /**
   * Runs a call.
   *
   * @param request the call
   * @return the result of the call; fails with a {@link ProblemException} for a refusal that the
   *     result cannot express
   */
  Single<ServiceAttemptResult> call(ServiceRequest request);
}
