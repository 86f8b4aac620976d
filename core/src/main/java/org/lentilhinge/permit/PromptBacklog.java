package org.lentilhinge.permit;

/**
 * Models the remaining prefill time of the prompts that were sent to an engine, and estimates the
 * engine's prefill speed from the times to the first events.
 */
final class PromptBacklog {

  /**
   * The remaining prefill time up to which the engine counts as idle, in milliseconds, because that
   * time passes while the next prompt is in transit.
   */
  private static final long NEGLIGIBLE_MILLIS = 20;

  /**
   * The part of the time to the first event that is not prefill, in milliseconds: one decoding step
   * and one round trip.
   */
  private static final double FIXED_OVERHEAD_MILLIS = 25;

  /**
   * The minimum predicted time that is used to correct the speed, in milliseconds. With a shorter
   * prefill, the fixed overhead would dominate the time to the first event.
   */
  private static final double MINIMUM_PREDICTED_MILLIS = 60;

  /** The relative change of the estimated speed by one first event. */
  private static final double SPEED_STEP = 0.01;

  private static final double MINIMUM_TOKENS_PER_MILLISECOND = 1;
  private static final double MAXIMUM_TOKENS_PER_MILLISECOND = 1_000;

  private double tokensPerMillisecond;
  private double busyUntilMillis;

  PromptBacklog(double initialTokensPerMillisecond) {
    this.tokensPerMillisecond = initialTokensPerMillisecond;
  }

  /** Adds a prompt and returns the predicted time until its prefill ends, in milliseconds. */
  long add(int promptTokens, long nowMillis) {
    busyUntilMillis = Math.max(nowMillis, busyUntilMillis) + promptTokens / tokensPerMillisecond;
    return remainingMillis(nowMillis);
  }

  /** Corrects the estimated speed by the predicted and the actual time to a first event. */
  void correctSpeed(long predictedMillis, long actualMillis) {
    if (predictedMillis < MINIMUM_PREDICTED_MILLIS) {
      return;
    }
    boolean slower = actualMillis - FIXED_OVERHEAD_MILLIS > predictedMillis;
    double corrected = tokensPerMillisecond * (slower ? 1 - SPEED_STEP : 1 + SPEED_STEP);
    tokensPerMillisecond =
        Math.max(
            MINIMUM_TOKENS_PER_MILLISECOND, Math.min(MAXIMUM_TOKENS_PER_MILLISECOND, corrected));
  }

  /**
   * Returns whether the prefill of another prompt delays the events of running streams by no more
   * than a limit. A prompt that exceeds the limit by itself is admitted once no other prefill
   * remains.
   */
  boolean admits(int promptTokens, long limitMillis, long nowMillis) {
    long remainingMillis = remainingMillis(nowMillis);
    return remainingMillis <= NEGLIGIBLE_MILLIS
        || remainingMillis + promptTokens / tokensPerMillisecond <= limitMillis;
  }

  long prefillMillis(long promptTokens) {
    return Math.round(promptTokens / tokensPerMillisecond);
  }

  double tokensPerMillisecond() {
    return tokensPerMillisecond;
  }

  long remainingMillis(long nowMillis) {
    return Math.max(0, Math.round(busyUntilMillis - nowMillis));
  }
}
