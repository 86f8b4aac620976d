package org.lentilhinge.forward;

/** The outcome of one attempt at an endpoint, as far as it is known. */
public enum AttemptOutcome {
  /** The endpoint sent a complete, signed response, which is passed to the caller. */
  ANSWERED,
  /** No byte of the request left this host. */
  NOT_SENT,
  /** The endpoint reported that it did not execute the request. */
  NOT_EXECUTED,
  /** The request was sent and no valid response arrived; the request may have run. */
  UNKNOWN;

  /**
   * Returns whether the request has certainly not run.
   *
   * @return whether a caller may be informed that its request did not run
   */
  public boolean isCertainlyNotRun() {
    return this == NOT_SENT || this == NOT_EXECUTED;
  }
}
