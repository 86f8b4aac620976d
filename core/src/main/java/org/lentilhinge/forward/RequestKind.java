package org.lentilhinge.forward;

/** Declares what may be repeated on a route. */
public enum RequestKind {
  /** The request is idempotent: it may run more than once. */
  SAFE,
  /** The request may run at most once. */
  UNSAFE,
  /** The answer is a series of events; it runs at most once unless the route is resumable. */
  STREAM
}
