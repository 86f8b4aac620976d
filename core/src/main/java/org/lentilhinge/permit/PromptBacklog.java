package org.lentilhinge.permit;

/**
 * Models the remaining prefill time of the prompts that were sent to an engine, and estimates the
 * engine's prefill speed from the times to the first events.
 */
final class PromptBacklog {

  /**
   * A remaining prefill time of this length or less counts as none, since it ends while the next
   * prompt is in transit.
   */
  private static final long NEGLIGIBLE_MILLIS = 20;

  /** The part of the time to the first event that is not prefill: one step and one round trip. */
  private static final double FIXED_MILLIS = 25;

  /**
   * Shorter predictions are not used to correct the speed, in milliseconds: the fixed part of the
   * time to the first event would dominate them.
   */
  private static final double TELLING_MILLIS = 60;

  /** The relative change of the estimated speed by one first event. */
  private static final double STEP = 0.01;

  private static final double LEAST_SPEED = 1;
  private static final double GREATEST_SPEED = 1_000;

  private double tokensPerMilli;
  private double busyUntilMillis;

  PromptBacklog(double tokensPerMilli) {
    this.tokensPerMilli = tokensPerMilli;
  }

  /** Adds a prompt and returns the predicted time until its prefill ends, in milliseconds. */
  long add(int promptTokens, long nowMillis) {
    busyUntilMillis = Math.max(nowMillis, busyUntilMillis) + promptTokens / tokensPerMilli;
    return millis(nowMillis);
  }

  /** Corrects the estimated speed by the actual time to a first event. */
  void observed(long predictedMillis, long tookMillis) {
    if (predictedMillis < TELLING_MILLIS) {
      return;
    }
    boolean slower = tookMillis - FIXED_MILLIS > predictedMillis;
    double corrected = tokensPerMilli * (slower ? 1 - STEP : 1 + STEP);
    tokensPerMilli = Math.max(LEAST_SPEED, Math.min(GREATEST_SPEED, corrected));
  }

  /**
   * Returns whether the prefill of another prompt delays the events of running streams by no more
   * than a limit. A prompt that exceeds the limit by itself is admitted once no other prefill
   * remains.
   */
  boolean takes(int promptTokens, long limitMillis, long nowMillis) {
    long remainingMillis = millis(nowMillis);
    return remainingMillis <= NEGLIGIBLE_MILLIS
        || remainingMillis + promptTokens / tokensPerMilli <= limitMillis;
  }

  long readingMillis(int promptTokens) {
    return Math.round(promptTokens / tokensPerMilli);
  }

  double speed() {
    return tokensPerMilli;
  }

  long millis(long nowMillis) {
    return Math.max(0, Math.round(busyUntilMillis - nowMillis));
  }
}
