package org.lentilhinge.permit;

/** Models how long an engine is still busy reading the prompts that it was given. */
final class PromptBacklog {

  private final double tokensPerMilli;
  private double busyUntilMillis;

  PromptBacklog(double tokensPerMilli) {
    this.tokensPerMilli = tokensPerMilli;
  }

  void add(int promptTokens, long nowMillis) {
    busyUntilMillis = Math.max(nowMillis, busyUntilMillis) + promptTokens / tokensPerMilli;
  }

  /**
   * Tells whether a prompt may join without keeping the events of running streams waiting for
   * longer than a bound. One that is longer by itself waits until nothing else is read.
   */
  boolean takes(int promptTokens, long boundMillis, long nowMillis) {
    long before = millis(nowMillis);
    return before == 0 || before + promptTokens / tokensPerMilli <= boundMillis;
  }

  long millis(long nowMillis) {
    return Math.max(0, Math.round(busyUntilMillis - nowMillis));
  }
}
