package org.lentilhinge.runtime.engine;

import io.vertx.core.json.JsonObject;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.EndpointId;

/**
 * One attempt to run a completion on one engine.
 *
 * @param endpoint the engine
 * @param address its IP address and port, separated by a colon
 * @param attempt the attempt, whose id the engine echoes
 * @param adapter the adapter version to run on, which the engine echoes as well
 * @param urgency the urgency of the request
 * @param kind the completion interface
 * @param body the body that the caller sent; the client replaces its members {@code model} and
 *     {@code stream}
 * @param resume the point at which the response resumes
 */
public record EngineRequest(
    EndpointId endpoint,
    String address,
    AttemptId attempt,
    AdapterVersion adapter,
    Urgency urgency,
    CompletionKind kind,
    JsonObject body,
    ResumePoint resume) {}
