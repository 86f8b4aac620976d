package org.lentilhinge.runtime.gateway;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.attempt.AnswerChunk;
import org.lentilhinge.attempt.AnswerStream;
import org.lentilhinge.attempt.AttemptCommand;
import org.lentilhinge.attempt.AttemptEnding;
import org.lentilhinge.attempt.AttemptError;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.runtime.decision.Decision;
import org.lentilhinge.runtime.decision.DecisionKind;
import org.lentilhinge.runtime.engine.EngineChunk;
import org.lentilhinge.runtime.engine.EngineException;
import org.lentilhinge.runtime.engine.EngineFailure;
import org.lentilhinge.runtime.engine.EngineRequest;
import org.lentilhinge.runtime.engine.ResumePoint;
import org.lentilhinge.runtime.metric.MetricNames;
import org.lentilhinge.runtime.service.Execution;

/** Runs one completion by executing the commands of its response stream. */
final class AnswerRun {

  private static final long RETRY_MILLIS = 1_000;

  private final ResumingAttemptRunner runner;
  private final CompletionJob job;
  private final AnswerStream answer;
  private int attempts;
  private String refusal = "";
  private long retryMillis = RETRY_MILLIS;

  AnswerRun(ResumingAttemptRunner runner, CompletionJob job) {
    this.runner = runner;
    this.job = job;
    this.answer =
        new AnswerStream(
            job.request(),
            job.adapter(),
            runner.limits(),
            runner.budget(),
            runner.counters(),
            job.endMillis());
  }

  Flowable<AnswerPiece> start() {
    return follow(answer.begin())
        .doOnError(this::logRefusal)
        .doFinally(() -> runner.dispatcher().finished(job.request()));
  }

  /** Executes the last of the commands, which determines how the response continues. */
  private Flowable<AnswerPiece> follow(List<AttemptCommand> commands) {
    AttemptCommand last = commands.get(commands.size() - 1);
    if (last instanceof AttemptCommand.ChooseEndpoint choose) {
      return choose(choose);
    }
    if (last instanceof AttemptCommand.FailAnswer failed) {
      return Flowable.error(new ProblemException(problem(failed.error())));
    }
    return Flowable.error(new IllegalStateException("unexpected command: " + last));
  }

  private Flowable<AnswerPiece> choose(AttemptCommand.ChooseEndpoint choose) {
    attempts++;
    long queuedUntilMillis =
        attempts == 1
            ? job.deadlineMillis()
            : Math.min(job.endMillis(), runner.nowMillis() + job.queueMillis());
    AssignmentRequest request =
        new AssignmentRequest(
            new AttemptId(job.request(), attempts),
            job.caller(),
            job.adapter(),
            job.urgency(),
            choose.excluded(),
            queuedUntilMillis);
    return assign(request)
        .map(Optional::of)
        .onErrorResumeNext(this::noteRefusal)
        .flatMapPublisher(
            assignment -> assignment.map(this::stream).orElseGet(() -> follow(notChosen())));
  }

  private Single<Optional<Assignment>> noteRefusal(Throwable error) {
    if (error instanceof AssignmentException known) {
      refusal = known.reason();
      retryMillis = known.retryAfterMillis().orElse(RETRY_MILLIS);
      return Single.just(Optional.empty());
    }
    return Single.error(error);
  }

  private List<AttemptCommand> notChosen() {
    return answer.notChosen(retryMillis);
  }

  /**
   * Awaits the assignment even if the caller has disconnected, so that each assignment is reported
   * as ended.
   */
  private Single<Assignment> assign(AssignmentRequest request) {
    Dispatcher dispatcher = runner.dispatcher();
    return Single.create(
        emitter ->
            dispatcher
                .assign(request)
                .subscribe(
                    assignment -> {
                      if (emitter.isDisposed()) {
                        dispatcher.ended(assignment, AttemptOutcome.NOT_RUN);
                      } else {
                        emitter.onSuccess(assignment);
                      }
                    },
                    emitter::tryOnError));
  }

  private Flowable<AnswerPiece> stream(Assignment assignment) {
    runner.metrics().histogram(MetricNames.ASSIGNMENT_WAIT_MILLIS).update(assignment.waitMillis());
    log(DecisionKind.ROUTE, assignment, assignment.reason());
    AttemptCommand.StartAttempt started =
        (AttemptCommand.StartAttempt)
            answer.chosen(assignment.endpoint(), runner.nowMillis()).get(0);
    EngineRequest request =
        new EngineRequest(
            assignment.endpoint(),
            assignment.address(),
            assignment.attempt(),
            assignment.adapter(),
            job.urgency(),
            job.kind(),
            job.body(),
            new ResumePoint(started.offset(), started.text()));
    return runner
        .engines()
        .run(request, () -> runner.dispatcher().mayDispatch(assignment))
        .mapOptional(chunk -> accept(assignment, chunk))
        .doOnComplete(() -> checkWhole(assignment))
        .doOnComplete(() -> runner.dispatcher().ended(assignment, AttemptOutcome.COMPLETED))
        .doOnCancel(() -> leave(assignment))
        .onErrorResumeNext(error -> recover(assignment, error));
  }

  /** Passes a chunk to the response stream; returns empty if the stream drops the chunk. */
  private Optional<AnswerPiece> accept(Assignment assignment, EngineChunk chunk) {
    AnswerChunk received =
        new AnswerChunk(
            chunk.attempt(),
            chunk.model(),
            chunk.offset(),
            chunk.tokens(),
            chunk.text(),
            chunk.finishReason().isPresent());
    List<AttemptCommand> commands = answer.received(received, runner.nowMillis());
    if (commands.isEmpty()) {
      return Optional.empty();
    }
    if (!(commands.get(0) instanceof AttemptCommand.DeliverChunk)) {
      throw new AttemptRejectedException(assignment.endpoint(), chunk, commands);
    }
    return Optional.of(
        new AnswerPiece(chunk.text(), chunk.tokens(), chunk.finishReason(), chunk.usage()));
  }

  private void checkWhole(Assignment assignment) {
    if (!answer.isEnded()) {
      throw new EngineException(
          EngineFailure.BROKEN, assignment.endpoint(), "stream ended before the last chunk");
    }
  }

  private Flowable<AnswerPiece> recover(Assignment assignment, Throwable error) {
    List<AttemptCommand> commands;
    AttemptEnding attemptFailure;
    if (error instanceof AttemptRejectedException rejected) {
      attemptFailure = AttemptEnding.MISMATCHED;
      commands = rejected.commands();
    } else if (error instanceof EngineException failed) {
      attemptFailure = endingOf(failed.failure());
      commands = answer.failed(assignment.attempt(), attemptFailure, runner.nowMillis());
    } else {
      runner.dispatcher().ended(assignment, AttemptOutcome.UNCONFIRMED);
      return Flowable.error(error);
    }
    end(assignment, attemptFailure);
    refusal = String.valueOf(error.getMessage());
    if (commands.get(commands.size() - 1) instanceof AttemptCommand.ChooseEndpoint) {
      runner.metrics().counter(MetricNames.RESUMES).inc();
      log(DecisionKind.RESUME, assignment, refusal);
    }
    return follow(commands);
  }

  /** Reports a failed attempt immediately, so that it has ended before the next one starts. */
  private void end(Assignment assignment, AttemptEnding failure) {
    if (!failure.isMaybeRunning()) {
      runner
          .dispatcher()
          .ended(
              assignment, failure.isMaybeRun() ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_RUN);
      return;
    }
    runner.dispatcher().ended(assignment, AttemptOutcome.UNCONFIRMED);
    runner
        .engines()
        .cancel(assignment.endpoint(), assignment.address(), assignment.attempt())
        .ignoreElement()
        .onErrorComplete()
        .subscribe();
  }

  /**
   * Cancels the attempt of a caller that has disconnected, and reports its end once the engine has
   * replied.
   */
  private void leave(Assignment assignment) {
    answer.callerGone();
    Dispatcher dispatcher = runner.dispatcher();
    runner
        .engines()
        .cancel(assignment.endpoint(), assignment.address(), assignment.attempt())
        .subscribe(
            confirmed -> dispatcher.ended(assignment, AttemptOutcome.CANCELLED),
            error -> dispatcher.ended(assignment, AttemptOutcome.UNCONFIRMED));
  }

  private static AttemptEnding endingOf(EngineFailure failure) {
    return switch (failure) {
      case UNREACHABLE, WITHHELD -> AttemptEnding.NOT_SENT;
      case REFUSED, FENCED -> AttemptEnding.REFUSED;
      case FAILED -> AttemptEnding.FAILED;
      case SILENT -> AttemptEnding.SILENT;
      case BROKEN -> AttemptEnding.BROKEN;
      case MISMATCHED -> AttemptEnding.MISMATCHED;
    };
  }

  private Problem problem(AttemptError error) {
    Execution execution =
        switch (error.state()) {
          case NOT_RUN -> Execution.NOT_RUN;
          case RAN -> Execution.RAN;
          case UNKNOWN -> Execution.UNKNOWN;
        };
    boolean unassigned = error.cause() == AttemptError.Cause.NO_ENDPOINT;
    boolean overloaded = unassigned && execution == Execution.NOT_RUN;
    ProblemType type = overloaded ? ProblemType.OVERLOADED : ProblemType.ENGINE_FAILED;
    String detail = unassigned ? refusal : "no engine completed the response";
    Problem problem = Problem.of(type, detail).withExecution(execution);
    return error.retryAfterMillis().isPresent()
        ? problem.withRetryAfterMillis(error.retryAfterMillis().getAsLong())
        : problem;
  }

  private void log(DecisionKind kind, Assignment assignment, String reason) {
    runner
        .decisions()
        .write(
            Decision.of(kind, reason)
                .withRequest(job.request())
                .withCaller(job.caller())
                .withAdapter(assignment.adapter())
                .withEndpoint(assignment.endpoint())
                .withWaitMillis(assignment.waitMillis()));
  }

  private void logRefusal(Throwable error) {
    String reason = error instanceof ProblemException ? refusal : String.valueOf(error);
    runner
        .decisions()
        .write(
            Decision.of(DecisionKind.REFUSE, reason)
                .withRequest(job.request())
                .withCaller(job.caller())
                .withAdapter(job.adapter()));
  }
}
