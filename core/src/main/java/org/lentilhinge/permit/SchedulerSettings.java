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

  /** The usable fraction of an engine's memory; the rest is left for growing responses. */
  public static final double USABLE_MEMORY_FRACTION = 0.9;

  /**
   * Returns the largest number of prompt and output tokens of one request. The platform's engines
   * reject a request that exceeds their whole memory as if they were full, so it can never run.
   */
  long maximumRequestTokens() {
    return (long) Math.ceil((memoryTokens + 1L) / USABLE_MEMORY_FRACTION) - 1;
  }
}
