package org.lentilhinge.permit;

/**
 * The limits on the work of one engine.
 *
 * @param batchSlots the maximum number of requests that run at once
 * @param memoryTokens the tokens of running requests that fit into its memory
 * @param adapterSlots the number of adapters that fit into its memory
 * @param maximumLoads the maximum number of adapters that load at once
 * @param backlogMillis the maximum prefill time queued at the engine ahead of a request
 */
public record SchedulerSettings(
    int batchSlots, int memoryTokens, int adapterSlots, int maximumLoads, long backlogMillis) {

  /**
   * The initial estimate of an engine's prefill speed, in tokens per millisecond, until the times
   * of its first events correct it. The value is the speed of the engines that users run.
   */
  public static final double INITIAL_TOKENS_PER_MILLISECOND = 22;
}
