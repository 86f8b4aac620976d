package org.lentilhinge.runtime.gateway;

/** The outcome of an attempt, which determines whether the attempt still uses its endpoint. */
public enum AttemptOutcome {
  /** The engine completed the response. */
  COMPLETED(true),
  /** Nothing was sent, or the engine refused the request. */
  NOT_RUN(true),
  /** The engine confirmed that the attempt is not running. */
  CANCELLED(true),
  /**
   * The attempt may still be running on the engine, until the maximum duration of a request has
   * passed.
   */
  UNCONFIRMED(false);

  private final boolean ended;

  AttemptOutcome(boolean ended) {
    this.ended = ended;
  }

  /**
   * Returns whether the attempt has certainly ended.
   *
   * @return false if the adapter version must stay protected from eviction
   */
  public boolean isEnded() {
    return ended;
  }
}
