package org.lentilhinge.runtime.gateway;

import io.reactivex.rxjava3.core.Single;
import org.lentilhinge.runtime.service.ServiceAttemptResult;

/**
 * Runs calls of plain services. The host's composition implements it with the idempotency keys'
 * home hosts; {@link SingleAttemptServiceDispatcher} is the plain baseline.
 */
@FunctionalInterface
public interface ServiceDispatcher {

  /**
   * Runs a call.
   *
   * @param request the call
   * @return what became of it; fails with a {@link ProblemException} for any other refusal
   */
  Single<ServiceAttemptResult> call(ServiceRequest request);
}
