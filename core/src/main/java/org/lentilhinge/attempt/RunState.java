package org.lentilhinge.attempt;

/** States whether a request ran. */
public enum RunState {
  /** No endpoint started to run the request. */
  NOT_RUN,
  /** An endpoint ran the request, at least in part. */
  RAN,
  /** An endpoint may have run the request. */
  UNKNOWN
}
