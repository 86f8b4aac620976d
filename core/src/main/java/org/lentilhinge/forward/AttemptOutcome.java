package org.lentilhinge.forward;

/** Tells what is known of one attempt at an endpoint. */
public enum AttemptOutcome {
  /** The endpoint answered, whole and with its signature; the answer is the caller's. */
  ANSWERED,
  /** No byte of the request left this host. */
  NOT_SENT,
  /** The endpoint said that it did not execute the request. */
  NOT_EXECUTED,
  /** The request left and no sound answer came: it may have run. */
  UNKNOWN;

  /**
   * Tells whether the request has certainly not run.
   *
   * @return whether a caller may be told so
   */
  public boolean isCertainlyNotRun() {
    return this == NOT_SENT || this == NOT_EXECUTED;
  }
}
