package org.lentilhinge.permit;

/**
 * Bounds what one engine is given.
 *
 * @param batchSlots the requests that run at once
 * @param memoryTokens the tokens of running requests that fit
 * @param adapterSlots the adapters that fit
 * @param maximumLoads the adapters that may be on their way at once
 * @param backlogMillis the reading of prompts that may lie before a request at the engine
 */
public record DeskSettings(
    int batchSlots, int memoryTokens, int adapterSlots, int maximumLoads, long backlogMillis) {

  /**
   * The speed at which an engine is believed to read prompts until its first events have told: that
   * of today's users' engines, in tokens a millisecond.
   */
  public static final double FIRST_TOKENS_PER_MILLI = 22;
}
