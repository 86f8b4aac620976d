package org.lentilhinge.forward;

/** Estimates how long a request takes, from its arrival to the end of its response. */
public final class RequestDuration {

  /** The time per output token of an engine under load, in milliseconds. */
  private static final long MILLIS_PER_TOKEN = 25;

  /** The multiple of the target time within which most responses begin. */
  private static final long TARGET_MULTIPLE = 2;

  private RequestDuration() {}

  /**
   * Estimates the duration of a request.
   *
   * @param route the request's route
   * @param outputTokens the maximum number of tokens to generate; 0 for plain services
   * @return the duration that most requests do not exceed, in milliseconds
   */
  public static long expectedMillis(ForwardRoute route, int outputTokens) {
    return Math.min(
        route.timeoutMillis(),
        route.targetMillis() * TARGET_MULTIPLE + outputTokens * MILLIS_PER_TOKEN);
  }
}
