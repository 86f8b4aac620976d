package org.lentilhinge.attempt;

/** Lists the ways in which an attempt ends without a complete response. */
public enum AttemptFailure {
  /** No byte of the request can have left this host. */
  NOT_SENT(false, false),
  /** The endpoint refused the request and did not run it. */
  REFUSED(false, false),
  /** The endpoint responded with an error. */
  FAILED(true, false),
  /** The connection was closed before the response was complete. */
  BROKEN(true, true),
  /** No chunk was received within the timeout. */
  SILENT(true, true),
  /**
   * The endpoint skipped a part of the response, or sent a part twice with different boundaries.
   */
  MISPLACED(true, true),
  /** The endpoint ran another adapter version. */
  MISMATCHED(true, true);

  private final boolean mayHaveRun;
  private final boolean mayStillRun;

  AttemptFailure(boolean mayHaveRun, boolean mayStillRun) {
    this.mayHaveRun = mayHaveRun;
    this.mayStillRun = mayStillRun;
  }

  /**
   * Indicates whether the endpoint may have started to run the request.
   *
   * @return false only if the endpoint certainly has not started to run the request
   */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /**
   * Indicates whether the endpoint may still be running the request.
   *
   * @return whether the attempt has to be cancelled
   */
  public boolean mayStillRun() {
    return mayStillRun;
  }
}
