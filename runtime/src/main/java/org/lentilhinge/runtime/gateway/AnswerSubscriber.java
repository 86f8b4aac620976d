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
abstract class AnswerSubscriber implements FlowableSubscriber<AnswerPiece> {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final HttpServerResponse response;
  private final AnswerFormat format;
  private final AnswerMeter meter;
  private Subscription subscription;
  private boolean finished;

  AnswerSubscriber(HttpServerResponse response, AnswerFormat format, AnswerMeter metrics) {
    this.response = response;
    this.format = format;
    this.meter = metrics;
  }

  @Override
  public final void onSubscribe(Subscription started) {
    subscription = started;
    response.closeHandler(ignored -> vanish());
    response.exceptionHandler(ignored -> vanish());
    if (response.closed()) {
      vanish();
      return;
    }
    started.request(initialDemand());
  }

  @Override
  public final void onNext(AnswerPiece chunk) {
    if (finished) {
      return;
    }
    boolean first = !meter.hasBegun();
    meter.piece(chunk);
    write(chunk, first);
  }

  @Override
  public final void onComplete() {
    if (finished) {
      return;
    }
    finished = true;
    meter.whole();
    end();
  }

  @Override
  public final void onError(Throwable error) {
    if (finished) {
      return;
    }
    finished = true;
    meter.cut();
    fail(problem(error));
  }

  /** Returns the number of chunks to request at the start. */
  abstract long initialDemand();

  /** Handles the next chunk. */
  abstract void write(AnswerPiece chunk, boolean first);

  /** Ends the response after the last chunk. */
  abstract void end();

  /** Ends the response with a problem. */
  abstract void fail(Problem problem);

  final HttpServerResponse response() {
    return response;
  }

  final AnswerFormat format() {
    return format;
  }

  final void request(long count) {
    subscription.request(count);
  }

  private void vanish() {
    if (finished) {
      return;
    }
    finished = true;
    meter.vanished();
    subscription.cancel();
  }

  private Problem problem(Throwable error) {
    Problem problem;
    if (error instanceof ProblemException known) {
      problem = known.problem();
    } else {
      LOGGER.atSevere().withCause(error).log("completion failed with an unexpected error");
      problem = Problem.of(ProblemType.INTERNAL, "unexpected error, see the log of the host");
    }
    if (!meter.hasBegun()) {
      return problem;
    }
    return new Problem(
        ProblemType.ANSWER_CUT, problem.detail(), Execution.RAN, problem.retryAfterMillis());
  }
}
