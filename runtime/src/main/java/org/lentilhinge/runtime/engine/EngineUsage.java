package org.lentilhinge.runtime.engine;

/**
 * The token counts of a response.
 *
 * @param promptTokens the number of tokens of the prompt
 * @param completionTokens the number of tokens of the response so far
 */
public record EngineUsage(int promptTokens, int completionTokens) {}
