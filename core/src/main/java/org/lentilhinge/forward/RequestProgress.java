package org.lentilhinge.forward;

/**
 * Tracks the outcomes of the attempts of one caller's request, and decides whether another attempt
 * may be made and whether the caller may be informed that the request did not run.
 */
public final class RequestProgress {

  /** The maximum number of sends of a request that is refused each time; more only add load. */
  private static final int MAXIMUM_SENDS = 4;

  private final ForwardRoute route;
  private int sends;
  private int possibleRuns;

  /**
   * Creates the progress of a request that has had no attempts.
   *
   * @param route the route of the request
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
   * @return whether the kind of the request and the number of its attempts allow another attempt
   */
  public boolean mayAttemptAgain() {
    boolean kindAllows = possibleRuns == 0 || route.isRepeatable();
    return kindAllows && possibleRuns < route.maximumAttempts() && sends < MAXIMUM_SENDS;
  }

  /**
   * Returns whether the request may be sent again if the attempt in progress turns out to have run.
   *
   * @return whether a response of that attempt that reports a failure need not be the last one
   */
  public boolean mayAttemptAfterRun() {
    return route.isRepeatable()
        && possibleRuns + 1 < route.maximumAttempts()
        && sends + 1 < MAXIMUM_SENDS;
  }

  /**
   * Returns whether the next attempt counts against the retry budget.
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
