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

  long millis(long nowMillis) {
    return Math.max(0, Math.round(busyUntilMillis - nowMillis));
  }
}
