package org.lentilhinge.forward;

/**
 * Tracks the outcomes of the attempts of one caller's request, and decides whether another attempt
 * may be made and whether the caller may be informed that the request did not run.
 */
public final class RequestProgress {

  /** The limit for a request that endpoints keep refusing; more attempts would only add load. */
  private static final int MAXIMUM_SENDS = 4;

  private final ForwardRoute route;
  private int sends;
  private int possibleRuns;

  /**
   * Creates the state of a request without attempts.
   *
   * @param route its route
   */
  public RequestProgress(ForwardRoute route) {
    this.route = route;
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param outcome the outcome
   */
  public void recordOutcome(AttemptOutcome outcome) {
    if (outcome != AttemptOutcome.NOT_SENT) {
      sends++;
    }
    if (!outcome.isCertainlyNotRun()) {
      possibleRuns++;
    }
  }

  /**
   * Returns whether the request may be sent again.
   *
   * @return whether its kind and the number of its attempts allow it
   */
  public boolean mayAttemptAgain() {
    boolean kindAllows = possibleRuns == 0 || route.isRepeatable();
    return kindAllows && possibleRuns < route.maximumAttempts() && sends < MAXIMUM_SENDS;
  }

  /**
   * Returns whether the next attempt uses the retry budget, since the request was already sent.
   *
   * @return whether a previous attempt sent the request
   */
  public boolean isRetry() {
    return sends > 0;
  }

  /**
   * Returns whether the caller may be informed that its request did not run.
   *
   * @return whether no attempt can have run
   */
  public boolean isCertainlyNotRun() {
    return possibleRuns == 0;
  }
}
