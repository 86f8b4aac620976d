package org.lentilhinge.permit;

import org.lentilhinge.message.PeerMessage;

/**
 * Asks an engine's holder whether a request may be sent to the engine.
 *
 * @param ask the number that the asking host gave, unique in its life
 * @param request the caller's request id, for the logs
 * @param life the life of the engine
 * @param model the base model
 * @param adapter the adapter's name, or an empty text for the base model alone
 * @param version the announced version of the adapter, or 0 if none was announced
 * @param promptTokens the tokens to read
 * @param outputTokens the most tokens to generate
 * @param priority the route's rank; 0 is the most urgent
 * @param aimMillis the time left for a first event that is on time, in milliseconds
 * @param deadlineMillis the time left for the whole answer, in milliseconds
 */
public record PermitAsk(
    long ask,
    String request,
    String life,
    String model,
    String adapter,
    long version,
    int promptTokens,
    int outputTokens,
    int priority,
    long aimMillis,
    long deadlineMillis)
    implements PeerMessage {}
