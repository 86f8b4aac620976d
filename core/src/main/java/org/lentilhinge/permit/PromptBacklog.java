package org.lentilhinge.permit;

/**
 * Models how long an engine is still busy reading the prompts that it was given, and learns its
 * speed from the time that first events took.
 */
final class PromptBacklog {

  /** Reading of this length or less counts as none: the next prompt is on its way meanwhile. */
  private static final long NEGLIGIBLE_MILLIS = 20;

  /** The part of a first event's time that is no reading: one step and the way there and back. */
  private static final double FIXED_MILLIS = 25;

  /** Only predictions of this length tell the speed from the rest, in milliseconds. */
  private static final double TELLING_MILLIS = 60;

  /** How far one first event moves the speed. */
  private static final double STEP = 0.01;

  private static final double LEAST_SPEED = 1;
  private static final double GREATEST_SPEED = 1_000;

  private double tokensPerMilli;
  private double busyUntilMillis;

  PromptBacklog(double tokensPerMilli) {
    this.tokensPerMilli = tokensPerMilli;
  }

  /** Adds a prompt; returns the time after which its first event is predicted. */
  long add(int promptTokens, long nowMillis) {
    busyUntilMillis = Math.max(nowMillis, busyUntilMillis) + promptTokens / tokensPerMilli;
    return millis(nowMillis);
  }

  /** Compares the time that a first event took with the time predicted for it. */
  void observed(long predictedMillis, long tookMillis) {
    if (predictedMillis < TELLING_MILLIS) {
      return;
    }
    boolean slower = tookMillis - FIXED_MILLIS > predictedMillis;
    double changed = tokensPerMilli * (slower ? 1 - STEP : 1 + STEP);
    tokensPerMilli = Math.max(LEAST_SPEED, Math.min(GREATEST_SPEED, changed));
  }

  /**
   * Tells whether a prompt may join without keeping the events of running streams waiting for
   * longer than a bound. One that is longer by itself waits until nothing else is read.
   */
  boolean takes(int promptTokens, long boundMillis, long nowMillis) {
    long before = millis(nowMillis);
    return before <= NEGLIGIBLE_MILLIS || before + promptTokens / tokensPerMilli <= boundMillis;
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
