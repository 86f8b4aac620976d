package org.lentilhinge.host;

/** The reason why a request gets no endpoint. The refused attempt was not run. */
public enum RefusalReason {
  /** The caller has reached its limit of requests in this host. */
  CALLER_LIMIT,
  /** Too many requests with precedence are already waiting. */
  OVERLOAD,
  /** No endpoint was found before the deadline of the request. */
  DEADLINE,
  /** No usable endpoint runs the base model of the request. */
  NO_ENDPOINT,
  /** The adapter version of the request cannot be loaded on any endpoint. */
  LOAD_FAILED,
  /** No configuration has been applied in this host yet. */
  NOT_CONFIGURED,
  /** This host is stopping. */
  STOPPING
}
