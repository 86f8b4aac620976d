package org.lentilhinge.runtime.engine;

import java.util.Optional;

/**
 * A chunk of a response as received from an engine, before it is checked against the attempt.
 *
 * @param attempt the attempt id that the engine echoes
 * @param model the model name of the adapter version that ran, as reported by the engine
 * @param offset the number of tokens of the response before this chunk
 * @param tokens the number of tokens in this chunk
 * @param text the text of this chunk
 * @param finishReason why the response ends with this chunk, or empty if more chunks follow
 * @param usage the token counts up to and including this chunk, if the engine reports them
 */
public record EngineChunk(
    String attempt,
    String model,
    int offset,
    int tokens,
    String text,
    Optional<String> finishReason,
    Optional<EngineUsage> usage) {}
