package org.lentilhinge.runtime.gateway;

import io.vertx.core.json.JsonObject;
import java.util.OptionalLong;
import org.lentilhinge.runtime.service.Execution;

/**
 * One occurrence of a problem, rendered as problem details (RFC 9457). The extension member {@code
 * execution} states whether the request was run.
 *
 * @param type the problem type
 * @param detail the explanation specific to this occurrence
 * @param execution whether the request was run
 * @param retryAfterMillis the time after which a retry may succeed, in milliseconds, or empty if
 *     unknown
 */
public record Problem(
    ProblemType type, String detail, Execution execution, OptionalLong retryAfterMillis) {

  /** The media type of problem details. */
  public static final String CONTENT_TYPE = "application/problem+json";

  private static final long MILLIS_PER_SECOND = 1_000;

  /**
   * Creates an occurrence with the default execution of its type.
   *
   * @param type the problem type
   * @param detail the explanation specific to this occurrence
   * @return the problem
   */
  public static Problem of(ProblemType type, String detail) {
    return new Problem(type, detail, type.execution(), OptionalLong.empty());
  }

  /**
   * Returns a copy with the time after which a retry may succeed.
   *
   * @param millis the time in milliseconds
   * @return the copy
   */
  public Problem withRetryAfterMillis(long millis) {
    return new Problem(type, detail, execution, OptionalLong.of(millis));
  }

  /**
   * Returns a copy with a different execution.
   *
   * @param value whether the request was run
   * @return the copy
   */
  public Problem withExecution(Execution value) {
    return new Problem(type, detail, value, retryAfterMillis);
  }

  /**
   * Returns the value of the Retry-After header.
   *
   * @return the retry time in seconds, rounded up, or empty if unknown
   */
  public OptionalLong retryAfterSeconds() {
    return retryAfterMillis.isPresent()
        ? OptionalLong.of(
            (retryAfterMillis.getAsLong() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)
        : OptionalLong.empty();
  }

  /**
   * Renders the problem details as JSON.
   *
   * @return the JSON object
   */
  public JsonObject toJson() {
    return new JsonObject()
        .put("type", type.uri())
        .put("title", type.title())
        .put("status", type.status())
        .put("detail", detail)
        .put("execution", execution.label());
  }
}
