package org.lentilhinge.runtime.gateway;

import io.vertx.core.json.JsonObject;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.runtime.engine.CompletionKind;

/**
 * A classified completion request of a caller.
 *
 * @param request the request
 * @param caller the caller
 * @param adapter the adapter version that every attempt runs on
 * @param urgency the urgency of the request
 * @param kind the completion interface
 * @param body the body that the caller sent
 * @param arrivedAtMillis when the request arrived, on the host's monotonic clock, in milliseconds
 * @param maximumQueueMillis the maximum wait for an endpoint, in milliseconds
 * @param maximumRequestMillis the maximum duration of the request including all attempts, in
 *     milliseconds
 */
public record CompletionJob(
    RequestId request,
    CallerId caller,
    AdapterVersion adapter,
    Urgency urgency,
    CompletionKind kind,
    JsonObject body,
    long arrivedAtMillis,
    long maximumQueueMillis,
    long maximumRequestMillis) {

  /**
   * Returns the time by which the first attempt must have an endpoint.
   *
   * @return the time on the host's monotonic clock, in milliseconds
   */
  public long queueDeadlineAtMillis() {
    return arrivedAtMillis + maximumQueueMillis;
  }

  /**
   * Returns the time at which the request is abandoned.
   *
   * @return the time on the host's monotonic clock, in milliseconds
   */
  public long deadlineAtMillis() {
    return arrivedAtMillis + maximumRequestMillis;
  }
}
