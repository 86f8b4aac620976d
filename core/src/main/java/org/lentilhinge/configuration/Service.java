package org.lentilhinge.configuration;

import java.util.List;
import java.util.Set;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ServiceId;
import org.lentilhinge.identity.ZoneId;

/**
 * The declaration of a plain service.
 *
 * @param id the service's identifier
 * @param homeZone the availability zone whose entry hosts store the service's idempotency keys
 * @param instances the instances of the service
 * @param calls the declarations that state which calls may be repeated; the first declaration that
 *     matches a call applies, and a call without a matching declaration must not be repeated
 * @param callers the callers that may call the service
 * @param deduplication how the service handles a repeated idempotency key
 */
public record Service(
    ServiceId id,
    ZoneId homeZone,
    List<ServiceInstance> instances,
    List<ServiceCall> calls,
    Set<CallerId> callers,
    Deduplication deduplication) {

  /**
   * Creates a service with copies of the collections.
   *
   * @param id the service
   * @param homeZone the home zone
   * @param instances the instances
   * @param calls the calls
   * @param callers the callers
   * @param deduplication the deduplication
   */
  public Service {
    instances = List.copyOf(instances);
    calls = List.copyOf(calls);
    callers = Set.copyOf(callers);
  }

  /**
   * Indicates whether a call may be repeated.
   *
   * @param method the HTTP method, in upper case
   * @param path the path, beginning with a slash
   * @return whether the first matching declaration permits the repetition
   */
  public boolean isRepeatable(String method, String path) {
    return calls.stream()
        .filter(call -> call.matches(method, path))
        .findFirst()
        .map(ServiceCall::repeatable)
        .orElse(false);
  }
}
