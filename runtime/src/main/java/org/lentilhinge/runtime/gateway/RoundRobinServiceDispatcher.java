package org.lentilhinge.runtime.gateway;

import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.lentilhinge.configuration.ServiceInstance;
import org.lentilhinge.runtime.service.Execution;
import org.lentilhinge.runtime.service.ServiceAttempt;
import org.lentilhinge.runtime.service.ServiceAttemptResult;
import org.lentilhinge.runtime.service.ServiceClient;

/**
 * Sends each call to the instances in rotation, one after another, until an instance may have run
 * the call. Idempotency keys are not stored.
 */
public final class RoundRobinServiceDispatcher implements ServiceDispatcher {

  private final ServiceClient client;
  private final AtomicInteger nextPosition = new AtomicInteger();

  /**
   * Creates a dispatcher.
   *
   * @param client the client that sends the attempts
   */
  public RoundRobinServiceDispatcher(ServiceClient client) {
    this.client = client;
  }

  @Override
  public Single<ServiceAttemptResult> call(ServiceRequest request) {
    List<ServiceInstance> instances = request.service().instances();
    if (instances.isEmpty()) {
      return Single.just(ServiceAttemptResult.notRun("the service has no instance"));
    }
    return callInstance(request, instances, nextPosition.getAndIncrement(), 1);
  }

  private Single<ServiceAttemptResult> callInstance(
      ServiceRequest request, List<ServiceInstance> instances, int position, int attemptNumber) {
    ServiceInstance instance = instances.get(Math.floorMod(position, instances.size()));
    ServiceAttempt attempt =
        new ServiceAttempt(
            instance.id(),
            instance.address(),
            request.method(),
            request.path(),
            request.headers(),
            request.body(),
            request.repeatable());
    return client
        .call(attempt, () -> true)
        .flatMap(
            result ->
                result.execution() == Execution.NOT_RUN && attemptNumber < instances.size()
                    ? callInstance(request, instances, position + 1, attemptNumber + 1)
                    : Single.just(result));
  }
}
