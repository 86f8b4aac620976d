package org.lentilhinge.forward;

/** The kinds of requests of a route, by whether they may be repeated. */
public enum RequestKind {
  /** The request is idempotent: it may run more than once. */
  SAFE,
  /** The request may run at most once. */
  UNSAFE,
  /** The response is a stream of events; it runs at most once unless the route is resumable. */
  STREAM
}
