package org.lentilhinge.host;

/** The result of an attempt to run a request. */
public enum AttemptResult {
  /** The engine has ended the attempt: the response is complete, or a cancellation is confirmed. */
  ENDED,
  /** No byte of the request was written. */
  NOT_STARTED,
  /** The connection broke or stalled; the engine may still be running the request. */
  LOST
}
