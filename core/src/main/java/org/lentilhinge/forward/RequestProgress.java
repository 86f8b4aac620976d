package org.lentilhinge.forward;

/**
 * Follows what is known of one caller's request over its attempts, and decides whether another
 * attempt may be made and what a caller may truthfully be told.
 */
public final class RequestProgress {

  /** Ends a request whose endpoints keep refusing it; more tries would only add load. */
  private static final int MAXIMUM_SENDS = 4;

  private final ForwardRoute route;
  private int sends;
  private int possibleRuns;

  /**
   * Begins a request.
   *
   * @param route its route
   */
  public RequestProgress(ForwardRoute route) {
    this.route = route;
  }

  /**
   * Notes the outcome of an attempt.
   *
   * @param outcome the outcome
   */
  public void ended(AttemptOutcome outcome) {
    if (outcome != AttemptOutcome.NOT_SENT) {
      sends++;
    }
    if (!outcome.isCertainlyNotRun()) {
      possibleRuns++;
    }
  }

  /**
   * Tells whether the request may be sent once more.
   *
   * @return whether neither the kind nor the number of attempts forbids it
   */
  public boolean mayTryAgain() {
    boolean kindAllows = possibleRuns == 0 || route.isRepeatable();
    return kindAllows && possibleRuns < route.maximumAttempts() && sends < MAXIMUM_SENDS;
  }

  /**
   * Tells whether the next attempt draws on the retry budget, because an endpoint saw one before.
   *
   * @return whether a send came before
   */
  public boolean isRetry() {
    return sends > 0;
  }

  /**
   * Tells whether a caller may be told that its request was not run.
   *
   * @return whether no attempt can have run
   */
  public boolean isCertainlyNotRun() {
    return possibleRuns == 0;
  }
}
