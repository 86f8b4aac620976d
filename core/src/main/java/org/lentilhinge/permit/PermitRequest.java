package org.lentilhinge.permit;

import java.util.Optional;
import org.lentilhinge.limit.RequestLimit;
import org.lentilhinge.message.PeerMessage;

/**
 * Requests a permit to send a request to an engine from the host that runs its scheduler, or to a
 * plain endpoint with a request limit from the host that paces its requests.
 *
 * @param permitId the id of this permit request, unique within the incarnation of the sending host
 * @param callerRequest the id of the caller's request, for the log
 * @param incarnation the incarnation of the engine or plain endpoint
 * @param model the base model
 * @param adapter the adapter's name, or an empty string for the base model alone
 * @param version the announced version of the adapter, or 0 if none was announced
 * @param promptTokens the number of prompt tokens
 * @param outputTokens the maximum number of tokens to generate
 * @param priority the route's priority; 0 is the most urgent
 * @param remainingTargetMillis the time left until the target of the first event, in milliseconds
 * @param remainingMillis the time left for the complete response, in milliseconds
 * @param requestLimit the request limit of the engine, if the sender knows one
 * @param terms what decides under shortage, if the sender states it
 */
public record PermitRequest(
    long permitId,
    String callerRequest,
    String incarnation,
    String model,
    String adapter,
    long version,
    int promptTokens,
    int outputTokens,
    int priority,
    long remainingTargetMillis,
    long remainingMillis,
    Optional<RequestLimit> requestLimit,
    Optional<PermitTerms> terms)
    implements PeerMessage {}
