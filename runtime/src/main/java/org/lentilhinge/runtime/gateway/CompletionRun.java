package org.lentilhinge.runtime.gateway;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.attempt.AttemptCommand;
import org.lentilhinge.attempt.AttemptError;
import org.lentilhinge.attempt.AttemptFailure;
import org.lentilhinge.attempt.ResponseChunk;
import org.lentilhinge.attempt.ResponseStream;
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
final class CompletionRun {

  private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

  private final ResumingAttemptRunner runner;
  private final CompletionJob job;
  private final ResponseStream responseStream;
  private int attempts;
  private String lastFailureReason = "";
  private long retryAfterMillis = DEFAULT_RETRY_AFTER_MILLIS;

  CompletionRun(ResumingAttemptRunner runner, CompletionJob job) {
    this.runner = runner;
    this.job = job;
    this.responseStream =
        new ResponseStream(
            job.request(),
            job.adapter(),
            runner.limits(),
            runner.budget(),
            runner.counters(),
            job.deadlineAtMillis());
  }

  Flowable<CompletionChunk> start() {
    return executeLast(responseStream.start())
        .doOnError(this::logRefusal)
        .doFinally(() -> runner.dispatcher().onRequestFinished(job.request()));
  }

  /** Executes the last of the commands, which determines how the response continues. */
  private Flowable<CompletionChunk> executeLast(List<AttemptCommand> commands) {
    AttemptCommand last = commands.get(commands.size() - 1);
    if (last instanceof AttemptCommand.ChooseEndpoint chooseCommand) {
      return assignEndpoint(chooseCommand);
    }
    if (last instanceof AttemptCommand.FailResponse failCommand) {
      return Flowable.error(new ProblemException(toProblem(failCommand.error())));
    }
    return Flowable.error(new IllegalStateException("unexpected command: " + last));
  }

  private Flowable<CompletionChunk> assignEndpoint(AttemptCommand.ChooseEndpoint chooseCommand) {
    attempts++;
    long queuedUntilMillis =
        attempts == 1
            ? job.queueDeadlineAtMillis()
            : Math.min(job.deadlineAtMillis(), runner.nowMillis() + job.maximumQueueMillis());
    AssignmentRequest request =
        new AssignmentRequest(
            new AttemptId(job.request(), attempts),
            job.caller(),
            job.adapter(),
            job.urgency(),
            chooseCommand.excluded(),
            queuedUntilMillis);
    return assign(request)
        .map(Optional::of)
        .onErrorResumeNext(this::recordRefusal)
        .flatMapPublisher(
            assignment ->
                assignment.map(this::stream).orElseGet(() -> executeLast(reportNoEndpoint())));
  }

  private Single<Optional<Assignment>> recordRefusal(Throwable error) {
    if (error instanceof AssignmentException assignmentException) {
      lastFailureReason = assignmentException.reason();
      retryAfterMillis = assignmentException.retryAfterMillis().orElse(DEFAULT_RETRY_AFTER_MILLIS);
      return Single.just(Optional.empty());
    }
    return Single.error(error);
  }

  private List<AttemptCommand> reportNoEndpoint() {
    return responseStream.onNoEndpoint(retryAfterMillis);
  }

  /**
   * Awaits the assignment even if the caller has disconnected, so that the end of each assigned
   * attempt is reported.
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
                        dispatcher.onAttemptEnded(assignment, AttemptOutcome.NOT_RUN);
                      } else {
                        emitter.onSuccess(assignment);
                      }
                    },
                    emitter::tryOnError));
  }

  private Flowable<CompletionChunk> stream(Assignment assignment) {
    runner.metrics().histogram(MetricNames.ASSIGNMENT_WAIT_MILLIS).update(assignment.waitMillis());
    logDecision(DecisionKind.ROUTE, assignment, assignment.reason());
    AttemptCommand.StartAttempt startCommand =
        (AttemptCommand.StartAttempt)
            responseStream.onEndpointChosen(assignment.endpoint(), runner.nowMillis()).get(0);
    EngineRequest request =
        new EngineRequest(
            assignment.endpoint(),
            assignment.address(),
            assignment.attempt(),
            assignment.adapter(),
            job.urgency(),
            job.kind(),
            job.body(),
            new ResumePoint(startCommand.offset(), startCommand.text()));
    return runner
        .engines()
        .run(request, () -> runner.dispatcher().mayDispatch(assignment))
        .mapOptional(chunk -> accept(assignment, chunk))
        .doOnComplete(() -> checkComplete(assignment))
        .doOnComplete(
            () -> runner.dispatcher().onAttemptEnded(assignment, AttemptOutcome.COMPLETED))
        .doOnCancel(() -> cancelAttempt(assignment))
        .onErrorResumeNext(error -> recover(assignment, error));
  }

  /** Passes a chunk to the response stream; returns empty if the stream drops the chunk. */
  private Optional<CompletionChunk> accept(Assignment assignment, EngineChunk chunk) {
    ResponseChunk received =
        new ResponseChunk(
            chunk.attempt(),
            chunk.model(),
            chunk.offset(),
            chunk.tokens(),
            chunk.text(),
            chunk.finishReason().isPresent());
    List<AttemptCommand> commands = responseStream.onChunk(received, runner.nowMillis());
    if (commands.isEmpty()) {
      return Optional.empty();
    }
    if (!(commands.get(0) instanceof AttemptCommand.DeliverChunk)) {
      throw new ChunkRejectedException(assignment.endpoint(), chunk, commands);
    }
    return Optional.of(
        new CompletionChunk(chunk.text(), chunk.tokens(), chunk.finishReason(), chunk.usage()));
  }

  private void checkComplete(Assignment assignment) {
    if (!responseStream.isEnded()) {
      throw new EngineException(
          EngineFailure.BROKEN, assignment.endpoint(), "stream ended before the last chunk");
    }
  }

  private Flowable<CompletionChunk> recover(Assignment assignment, Throwable error) {
    List<AttemptCommand> commands;
    AttemptFailure attemptFailure;
    if (error instanceof ChunkRejectedException rejection) {
      attemptFailure = AttemptFailure.MISMATCHED;
      commands = rejection.commands();
    } else if (error instanceof EngineException engineException) {
      attemptFailure = failureOf(engineException.failure());
      commands =
          responseStream.onAttemptFailed(assignment.attempt(), attemptFailure, runner.nowMillis());
    } else {
      runner.dispatcher().onAttemptEnded(assignment, AttemptOutcome.UNCONFIRMED);
      return Flowable.error(error);
    }
    reportFailedAttempt(assignment, attemptFailure);
    lastFailureReason = String.valueOf(error.getMessage());
    if (commands.get(commands.size() - 1) instanceof AttemptCommand.ChooseEndpoint) {
      runner.metrics().counter(MetricNames.RESUMES).inc();
      logDecision(DecisionKind.RESUME, assignment, lastFailureReason);
    }
    return executeLast(commands);
  }

  /**
   * Reports a failed attempt immediately, so that the dispatcher sees its end before the next
   * attempt starts.
   */
  private void reportFailedAttempt(Assignment assignment, AttemptFailure failure) {
    if (!failure.mayStillRun()) {
      runner
          .dispatcher()
          .onAttemptEnded(
              assignment, failure.mayHaveRun() ? AttemptOutcome.CANCELLED : AttemptOutcome.NOT_RUN);
      return;
    }
    runner.dispatcher().onAttemptEnded(assignment, AttemptOutcome.UNCONFIRMED);
    runner
        .engines()
        .cancel(assignment.endpoint(), assignment.address(), assignment.attempt())
        .ignoreElement()
        .onErrorComplete()
        .subscribe();
  }

  /**
   * Cancels the attempt of a caller that has disconnected, and reports the end of the attempt once
   * the engine has replied or failed to reply.
   */
  private void cancelAttempt(Assignment assignment) {
    responseStream.onCallerDisconnected();
    Dispatcher dispatcher = runner.dispatcher();
    runner
        .engines()
        .cancel(assignment.endpoint(), assignment.address(), assignment.attempt())
        .subscribe(
            confirmed -> dispatcher.onAttemptEnded(assignment, AttemptOutcome.CANCELLED),
            error -> dispatcher.onAttemptEnded(assignment, AttemptOutcome.UNCONFIRMED));
  }

  private static AttemptFailure failureOf(EngineFailure failure) {
    return switch (failure) {
      case UNREACHABLE, WITHHELD -> AttemptFailure.NOT_SENT;
      case REFUSED, FENCED -> AttemptFailure.REFUSED;
      case FAILED -> AttemptFailure.FAILED;
      case SILENT -> AttemptFailure.SILENT;
      case BROKEN -> AttemptFailure.BROKEN;
      case MISMATCHED -> AttemptFailure.MISMATCHED;
    };
  }

  private Problem toProblem(AttemptError error) {
    Execution execution =
        switch (error.state()) {
          case NOT_RUN -> Execution.NOT_RUN;
          case RAN -> Execution.RAN;
          case UNKNOWN -> Execution.UNKNOWN;
        };
    boolean unassigned = error.cause() == AttemptError.Cause.NO_ENDPOINT;
    boolean overloaded = unassigned && execution == Execution.NOT_RUN;
    ProblemType type = overloaded ? ProblemType.OVERLOADED : ProblemType.ENGINE_FAILED;
    String detail = unassigned ? lastFailureReason : "no engine completed the response";
    Problem problem = Problem.of(type, detail).withExecution(execution);
    return error.retryAfterMillis().isPresent()
        ? problem.withRetryAfterMillis(error.retryAfterMillis().getAsLong())
        : problem;
  }

  private void logDecision(DecisionKind kind, Assignment assignment, String reason) {
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
    String reason = error instanceof ProblemException ? lastFailureReason : String.valueOf(error);
    runner
        .decisions()
        .write(
            Decision.of(DecisionKind.REFUSE, reason)
                .withRequest(job.request())
                .withCaller(job.caller())
                .withAdapter(job.adapter()));
  }
}
