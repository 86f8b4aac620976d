package org.lentilhinge.attempt;

import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.EndpointId;

/** A command of a {@link ResponseStream} that the runtime carries out. */
public sealed interface AttemptCommand {

  /**
   * Selects an endpoint and passes the result to {@link ResponseStream#onEndpointChosen} or {@link
   * ResponseStream#onNoEndpoint}.
   *
   * @param adapter the adapter version that the endpoint must run
   * @param excluded the endpoints that failed to run this request
   */
  record ChooseEndpoint(AdapterVersion adapter, Set<EndpointId> excluded)
      implements AttemptCommand {}

  /**
   * Starts an attempt.
   *
   * @param attempt the id of the attempt, which the endpoint must echo
   * @param endpoint the endpoint
   * @param adapter the adapter version
   * @param offset the number of tokens that the caller has already received
   * @param text the text of these tokens
   */
  record StartAttempt(
      AttemptId attempt, EndpointId endpoint, AdapterVersion adapter, int offset, String text)
      implements AttemptCommand {}

  /**
   * Cancels an attempt that may still be running.
   *
   * @param attempt the attempt
   * @param endpoint the endpoint
   * @param connectionSuspect whether the connection may be dead, so that the cancellation must be
   *     sent on a new connection and the old connection is not used again
   */
  record CancelAttempt(AttemptId attempt, EndpointId endpoint, boolean connectionSuspect)
      implements AttemptCommand {}

  /**
   * Delivers a chunk of the response to the caller.
   *
   * @param chunk the chunk
   */
  record DeliverChunk(ResponseChunk chunk) implements AttemptCommand {}

  /** Notifies the caller that the response is complete. */
  record FinishResponse() implements AttemptCommand {}

  /**
   * Notifies the caller at once that the response will not be completed.
   *
   * @param error the error to report
   */
  record FailResponse(AttemptError error) implements AttemptCommand {}
}
