package org.lentilhinge.forward;

/** Estimates how long a request takes, from its arrival to the end of its response. */
public final class RequestDuration {

  /** The time per output token of an engine under load, in milliseconds. */
  private static final long MILLIS_PER_TOKEN = 15;

  private RequestDuration() {}

  /**
   * Estimates the duration of a request.
   *
   * @param route the request's route
   * @param outputTokens the maximum number of tokens to generate; 0 for plain services
   * @return the duration until the target of the first event and of all tokens, in milliseconds
   */
  public static long expectedMillis(ForwardRoute route, int outputTokens) {
    return Math.min(route.timeoutMillis(), route.targetMillis() + outputTokens * MILLIS_PER_TOKEN);
  }
}
