package org.lentilhinge.permit;

/**
 * The limits on the work of one engine.
 *
 * @param batchSlots the maximum number of requests that run at once
 * @param memoryTokens the number of tokens of running requests that fit into the engine's memory
 * @param adapterSlots the number of adapters that fit into the engine's memory
 * @param maximumLoads the maximum number of adapters that load at once
 * @param backlogMillis the maximum prefill time of the prompts at the engine, including that of a
 *     new request, in milliseconds
 */
public record SchedulerSettings(
    int batchSlots, int memoryTokens, int adapterSlots, int maximumLoads, long backlogMillis) {

  /**
   * The initial estimate of an engine's prefill speed, in tokens per millisecond, until the
   * measured times to the first event correct it. It is the speed of the engines that users run.
   */
  public static final double INITIAL_TOKENS_PER_MILLISECOND = 22;
}
