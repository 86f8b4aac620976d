package org.lentilhinge.attempt;

/**
 * A chunk of a response as an engine sent it, not yet checked.
 *
 * @param attempt the attempt that the engine states as the one it responds to
 * @param adapterVersion the adapter version that the engine states as the one it ran
 * @param offset the number of tokens of the response before this chunk
 * @param tokens the number of tokens in this chunk
 * @param text the text of this chunk
 * @param last whether the engine states that the response ends with this chunk
 */
public record ResponseChunk(
    String attempt, String adapterVersion, int offset, int tokens, String text, boolean last) {}
