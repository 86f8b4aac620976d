package org.lentilhinge.runtime.gateway;

import java.util.Locale;
import org.lentilhinge.runtime.service.Execution;

/** The types of problems returned to callers, with their HTTP status (RFC 9457). */
public enum ProblemType {
  /** The body is not a valid JSON object of the interface. */
  MALFORMED_BODY(400, "The body is malformed", Execution.NOT_RUN),
  /** The body requests an unsupported feature. */
  UNSUPPORTED(400, "The request is not supported", Execution.NOT_RUN),
  /** A non-repeatable call has no idempotency key, or the key has an invalid length. */
  KEY_MISSING(400, "The idempotency key is missing or malformed", Execution.NOT_RUN),
  /** The API key is missing or unknown. */
  UNAUTHENTICATED(401, "The API key is missing or unknown", Execution.NOT_RUN),
  /** No rule routes the request. */
  NO_RULE(403, "No rule routes this request", Execution.NOT_RUN),
  /** The caller is not permitted to call the service. */
  SERVICE_FORBIDDEN(403, "The service is not open to this caller", Execution.NOT_RUN),
  /** There is no such path or service. */
  NOT_FOUND(404, "There is no such resource", Execution.NOT_RUN),
  /** The path does not support the method. */
  METHOD_NOT_ALLOWED(405, "The method is not allowed here", Execution.NOT_RUN),
  /** The idempotency key was used for a different call. */
  KEY_REUSED(422, "The idempotency key was used for another call", Execution.NOT_RUN),
  /** The body exceeds the size limit. */
  BODY_TOO_LARGE(413, "The body is over the limit", Execution.NOT_RUN),
  /** The headers exceed the size limit. */
  HEADER_TOO_LARGE(431, "The headers are over the limit", Execution.NOT_RUN),
  /** The caller has reached its limit of concurrent requests on this host. */
  TOO_MANY_REQUESTS(429, "Too many requests run for this caller", Execution.NOT_RUN),
  /** No endpoint can currently accept the request. */
  OVERLOADED(503, "No endpoint takes the request now", Execution.NOT_RUN),
  /** No instance of the service can currently accept the call. */
  SERVICE_UNAVAILABLE(503, "The service takes no call now", Execution.NOT_RUN),
  /** No configuration has been applied on the host yet. */
  NOT_READY(503, "The host is not ready", Execution.NOT_RUN),
  /** The host is stopping. */
  STOPPING(503, "The host is stopping", Execution.NOT_RUN),
  /** The call was sent, but no response was received. */
  OUTCOME_UNKNOWN(504, "The outcome is unknown", Execution.UNKNOWN),
  /** No engine completed the request and no token was delivered. */
  ENGINE_FAILED(502, "The engine failed", Execution.UNKNOWN),
  /** The call ran, but its response was not stored. */
  ANSWER_NOT_KEPT(502, "The call ran and its answer is not kept", Execution.RAN),
  /** The response ended before it was complete. */
  ANSWER_CUT(502, "The answer is cut short", Execution.RAN),
  /** The gateway failed with an unexpected error. */
  INTERNAL(500, "The gateway failed", Execution.UNKNOWN);

  private final int status;
  private final String title;
  private final Execution execution;

  ProblemType(int status, String title, Execution execution) {
    this.status = status;
    this.title = title;
    this.execution = execution;
  }

  /**
   * Returns the HTTP status.
   *
   * @return the status
   */
  public int status() {
    return status;
  }

  /**
   * Returns the title, which is the same for all occurrences.
   *
   * @return the title
   */
  public String title() {
    return title;
  }

  /**
   * Returns the default statement of whether a request that ends with this problem was run.
   *
   * @return the execution
   */
  public Execution execution() {
    return execution;
  }

  /**
   * Returns the URI that identifies the problem type.
   *
   * @return the URI
   */
  public String uri() {
    return "urn:lentilhinge:problem:" + name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
