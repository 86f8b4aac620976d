package org.lentilhinge.runtime.gateway;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.FlowableSubscriber;
import io.vertx.core.http.HttpServerResponse;
import org.lentilhinge.runtime.service.Execution;
import org.reactivestreams.Subscription;

/**
 * Writes the chunks of a completion to an HTTP response. All methods are called on the Vert.x
 * context of the response. If the caller disconnects, the subscription is cancelled.
 */
abstract class ResponseSubscriber implements FlowableSubscriber<CompletionChunk> {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final HttpServerResponse response;
  private final ResponseFormat format;
  private final ResponseMetrics metrics;
  private Subscription subscription;
  private boolean finished;

  ResponseSubscriber(HttpServerResponse response, ResponseFormat format, ResponseMetrics metrics) {
    this.response = response;
    this.format = format;
    this.metrics = metrics;
  }

  @Override
  public final void onSubscribe(Subscription newSubscription) {
    subscription = newSubscription;
    response.closeHandler(ignored -> handleDisconnect());
    response.exceptionHandler(ignored -> handleDisconnect());
    if (response.closed()) {
      handleDisconnect();
      return;
    }
    newSubscription.request(initialDemand());
  }

  @Override
  public final void onNext(CompletionChunk chunk) {
    if (finished) {
      return;
    }
    boolean first = !metrics.hasFirstChunk();
    metrics.recordChunk(chunk);
    handleChunk(chunk, first);
  }

  @Override
  public final void onComplete() {
    if (finished) {
      return;
    }
    finished = true;
    metrics.recordCompletion();
    finish();
  }

  @Override
  public final void onError(Throwable error) {
    if (finished) {
      return;
    }
    finished = true;
    metrics.recordFailure();
    fail(toProblem(error));
  }

  /** Returns the number of chunks to request at the start. */
  abstract long initialDemand();

  /** Handles the next chunk. */
  abstract void handleChunk(CompletionChunk chunk, boolean first);

  /** Ends the response after the last chunk. */
  abstract void finish();

  /** Ends the response with a problem. */
  abstract void fail(Problem problem);

  final HttpServerResponse response() {
    return response;
  }

  final ResponseFormat format() {
    return format;
  }

  final void request(long count) {
    subscription.request(count);
  }

  private void handleDisconnect() {
    if (finished) {
      return;
    }
    finished = true;
    metrics.recordDisconnect();
    subscription.cancel();
  }

  private Problem toProblem(Throwable error) {
    Problem problem;
    if (error instanceof ProblemException problemException) {
      problem = problemException.problem();
    } else {
      LOGGER.atSevere().withCause(error).log("completion failed with an unexpected error");
      problem = Problem.of(ProblemType.INTERNAL, "unexpected error, see the log of the host");
    }
    if (!metrics.hasFirstChunk()) {
      return problem;
    }
    return new Problem(
        ProblemType.ANSWER_CUT, problem.detail(), Execution.RAN, problem.retryAfterMillis());
  }
}
