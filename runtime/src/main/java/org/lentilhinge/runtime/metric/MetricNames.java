package org.lentilhinge.runtime.metric;

/** The names of the metrics of the request path. The name of a duration includes its unit. */
public final class MetricNames {

  /** The number of requests received from callers. */
  public static final String REQUESTS = "gateway.requests";

  /** The number of requests that the gateway refused before any work on them had begun. */
  public static final String REFUSALS = "gateway.refusals";

  /** The number of responses that were delivered completely. */
  public static final String ANSWERS = "gateway.answers";

  /** The number of responses that ended with an error after their first token. */
  public static final String INTERRUPTED_ANSWERS = "gateway.answers.cut";

  /** The number of callers that disconnected before their response was complete. */
  public static final String DISCONNECTED_CALLERS = "gateway.callers.vanished";

  /** The number of requests that are currently running. */
  public static final String RUNNING = "gateway.requests.running";

  /** The distribution of the time from a request's arrival to its first token, in milliseconds. */
  public static final String FIRST_TOKEN_MILLIS = "gateway.first.token.millis";

  /** The distribution of the time between two tokens of a response, in milliseconds. */
  public static final String TOKEN_GAP_MILLIS = "gateway.token.gap.millis";

  /** The distribution of the wait for an endpoint, in milliseconds. */
  public static final String ASSIGNMENT_WAIT_MILLIS = "gateway.assignment.wait.millis";

  /** The number of tokens delivered to callers. */
  public static final String TOKENS = "gateway.tokens";

  /** The number of attempts sent to engines. */
  public static final String ATTEMPTS = "engine.attempts";

  /** The number of attempts that continued a response on another endpoint. */
  public static final String RESUMES = "engine.resumes";

  /** The number of engine connections that were replaced because a connection was silent. */
  public static final String REPLACED_CONNECTIONS = "engine.connections.replaced";

  /** The number of chunks dropped because they belonged to another attempt or arrived too late. */
  public static final String DROPPED_CHUNKS = "engine.chunks.dropped";

  /** The number of attempts to which the engine responded with another adapter version. */
  public static final String MISMATCHED_ATTEMPTS = "engine.attempts.mismatched";

  /** The number of calls to plain services whose outcome is unknown. */
  public static final String UNKNOWN_CALLS = "service.calls.unknown";

  /** The number of calls to plain services that received a response. */
  public static final String ANSWERED_CALLS = "service.calls.answered";

  /** The number of calls to plain services that were not executed. */
  public static final String REFUSED_CALLS = "service.calls.refused";

  /** The number of configurations that were applied. */
  public static final String CONFIGURATIONS_APPLIED = "configuration.applied";

  /** The number of published configurations that were rejected. */
  public static final String CONFIGURATIONS_REJECTED = "configuration.rejected";

  private MetricNames() {}
}
