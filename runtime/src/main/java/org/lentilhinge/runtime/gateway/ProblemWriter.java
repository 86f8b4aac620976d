package org.lentilhinge.runtime.gateway;

import io.vertx.core.http.HttpServerResponse;

/** Writes problems as complete HTTP responses. */
final class ProblemWriter {

  private ProblemWriter() {}

  static void write(HttpServerResponse response, Problem problem) {
    if (response.ended() || response.closed()) {
      return;
    }
    response.setStatusCode(problem.type().status());
    response.putHeader("Content-Type", Problem.CONTENT_TYPE);
    problem
        .retryAfterSeconds()
        .ifPresent(seconds -> response.putHeader("Retry-After", Long.toString(seconds)));
    if (problem.type() == ProblemType.UNAUTHENTICATED) {
      response.putHeader("WWW-Authenticate", "Bearer");
    }
    if (closesConnection(problem.type())) {
      response.putHeader("Connection", "close");
    }
    response.end(problem.toJson().toBuffer());
  }

  /**
   * Returns whether the connection must be closed because unread bytes of the request may follow.
   */
  private static boolean closesConnection(ProblemType type) {
    return type == ProblemType.BODY_TOO_LARGE
        || type == ProblemType.HEADER_TOO_LARGE
        || type == ProblemType.STOPPING;
  }
}
