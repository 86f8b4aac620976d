package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * Requests a permit from the owner of an engine to send a request to the engine.
 *
 * @param permitId the id of this permit request, unique within the incarnation of the sending host
 * @param callerRequest the id of the caller's request, for the log
 * @param incarnation the incarnation of the engine
 * @param model the base model
 * @param adapter the adapter's name, or an empty string for the base model alone
 * @param version the announced version of the adapter, or 0 if none was announced
 * @param promptTokens the number of prompt tokens
 * @param outputTokens the maximum number of tokens to generate
 * @param priority the route's priority; 0 is the most urgent
 * @param remainingTargetMillis the time left until the target of the first event, in milliseconds
 * @param remainingMillis the time left for the complete response, in milliseconds
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
    long remainingMillis)
    implements PeerMessage {}
