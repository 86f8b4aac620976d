package org.lentilhinge.runtime.gateway;

import java.util.Optional;
import org.lentilhinge.runtime.engine.EngineUsage;

/**
 * A chunk of a response that matches the expected attempt, adapter version and offset.
 *
 * @param text the text of the chunk
 * @param tokens the number of tokens in the text
 * @param finishReason why the response ends with this chunk, or empty if more chunks follow
 * @param usage the token counts up to and including this chunk, if the engine reports them
 */
public record CompletionChunk(
    String text, int tokens, Optional<String> finishReason, Optional<EngineUsage> usage) {}
