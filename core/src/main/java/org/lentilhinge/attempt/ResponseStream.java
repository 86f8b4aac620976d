package org.lentilhinge.attempt;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.RequestId;

/**
 * Assembles one complete response from one or more attempts. It delivers only the chunks of the
 * current attempt, resumes an interrupted response on another endpoint after the last delivered
 * token, and ends with either the complete response or an error.
 */
public final class ResponseStream {

  private final RequestId request;
  private final AdapterVersion adapter;
  private final AttemptLimits limits;
  private final RetryBudget budget;
  private final AttemptCounters counters;
  private final long deadlineMillis;
  private final Set<EndpointId> excludedEndpoints = new HashSet<>();
  private final StringBuilder deliveredText = new StringBuilder();
  private Optional<AttemptId> currentAttempt = Optional.empty();
  private Optional<EndpointId> currentEndpoint = Optional.empty();
  private int attemptCount;
  private int deliveredTokens;
  private boolean mayHaveRun;
  private boolean ended;
  private long chunkDeadlineMillis;

  /**
   * Creates a stream that has not been started.
   *
   * @param request the request
   * @param adapter the adapter version that the request must run on
   * @param limits the limits
   * @param budget limits the retries of all requests together
   * @param counters counts the chunks that are not delivered
   * @param deadlineMillis the monotonic time, in milliseconds, at which the response is abandoned
   */
  public ResponseStream(
      RequestId request,
      AdapterVersion adapter,
      AttemptLimits limits,
      RetryBudget budget,
      AttemptCounters counters,
      long deadlineMillis) {
    this.request = request;
    this.adapter = adapter;
    this.limits = limits;
    this.budget = budget;
    this.counters = counters;
    this.deadlineMillis = deadlineMillis;
  }

  /**
   * Starts the stream.
   *
   * @return the commands to carry out
   */
  public List<AttemptCommand> start() {
    budget.recordRequest();
    return List.of(new AttemptCommand.ChooseEndpoint(adapter, Set.copyOf(excludedEndpoints)));
  }

  /**
   * Indicates whether the stream has ended, so that nothing more is sent to the caller.
   *
   * @return whether the stream has ended
   */
  public boolean isEnded() {
    return ended;
  }

  /**
   * Starts the next attempt on the selected endpoint.
   *
   * @param chosen the endpoint
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands to carry out
   */
  public List<AttemptCommand> onEndpointChosen(EndpointId chosen, long nowMillis) {
    List<AttemptCommand> commands = new ArrayList<>();
    if (ended || currentAttempt.isPresent()) {
      return commands;
    }
    attemptCount++;
    AttemptId attempt = new AttemptId(request, attemptCount);
    currentAttempt = Optional.of(attempt);
    currentEndpoint = Optional.of(chosen);
    chunkDeadlineMillis = nowMillis + limits.firstChunkMillis();
    if (deliveredTokens > 0) {
      counters.countResumed();
    }
    commands.add(
        new AttemptCommand.StartAttempt(
            attempt, chosen, adapter, deliveredTokens, deliveredText.toString()));
    return commands;
  }

  /**
   * Abandons the response because no endpoint is available.
   *
   * @param retryAfterMillis the time after which the caller may retry, in milliseconds
   * @return the commands to carry out
   */
  public List<AttemptCommand> onNoEndpoint(long retryAfterMillis) {
    List<AttemptCommand> commands = new ArrayList<>();
    if (!ended && currentAttempt.isEmpty()) {
      abandon(AttemptError.Cause.NO_ENDPOINT, retryAfterMillis, commands);
    }
    return commands;
  }

  /**
   * Handles a chunk, regardless of the connection on which it was received.
   *
   * @param chunk the chunk
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands to carry out
   */
  public List<AttemptCommand> onChunk(ResponseChunk chunk, long nowMillis) {
    List<AttemptCommand> commands = new ArrayList<>();
    if (!isCurrent(chunk)) {
      return commands;
    }
    if (!chunk.adapterVersion().equals(adapter.toString())) {
      counters.countMismatched();
      endAttempt(AttemptFailure.MISMATCHED, nowMillis, commands);
    } else if (chunk.offset() == deliveredTokens) {
      deliver(chunk, nowMillis, commands);
    } else if (chunk.offset() + chunk.tokens() <= deliveredTokens && !chunk.last()) {
      counters.countDuplicated();
    } else {
      endAttempt(AttemptFailure.MISPLACED, nowMillis, commands);
    }
    return commands;
  }

  private boolean isCurrent(ResponseChunk chunk) {
    if (!ended
        && currentAttempt.map(AttemptId::toString).filter(chunk.attempt()::equals).isPresent()) {
      return true;
    }
    if (chunk.attempt().startsWith(request + "/")) {
      counters.countLate();
    } else {
      counters.countMisrouted();
    }
    return false;
  }

  private void deliver(ResponseChunk chunk, long nowMillis, List<AttemptCommand> commands) {
    mayHaveRun = true;
    deliveredTokens += chunk.tokens();
    deliveredText.append(chunk.text());
    chunkDeadlineMillis = nowMillis + limits.nextChunkMillis();
    commands.add(new AttemptCommand.DeliverChunk(chunk));
    if (chunk.last()) {
      ended = true;
      currentAttempt = Optional.empty();
      commands.add(new AttemptCommand.FinishResponse());
    }
  }

  /**
   * Handles the end of an attempt that did not send the last chunk.
   *
   * @param attempt the attempt
   * @param failure how the attempt ended
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands to carry out
   */
  public List<AttemptCommand> onAttemptFailed(
      AttemptId attempt, AttemptFailure failure, long nowMillis) {
    List<AttemptCommand> commands = new ArrayList<>();
    if (!ended && currentAttempt.filter(attempt::equals).isPresent()) {
      endAttempt(failure, nowMillis, commands);
    }
    return commands;
  }

  private void endAttempt(AttemptFailure failure, long nowMillis, List<AttemptCommand> commands) {
    mayHaveRun |= failure.mayHaveRun();
    if (failure.mayStillRun()) {
      cancelCurrent(failure == AttemptFailure.SILENT, commands);
    }
    currentEndpoint.ifPresent(excludedEndpoints::add);
    currentAttempt = Optional.empty();
    if (nowMillis >= deadlineMillis) {
      abandon(AttemptError.Cause.DEADLINE, limits.retryAfterMillis(), commands);
    } else if (attemptCount >= limits.maximumAttempts()) {
      abandon(AttemptError.Cause.ATTEMPTS_EXHAUSTED, limits.retryAfterMillis(), commands);
    } else if (!budget.tryRetry()) {
      abandon(AttemptError.Cause.RETRY_BUDGET_EXHAUSTED, limits.retryAfterMillis(), commands);
    } else {
      commands.add(new AttemptCommand.ChooseEndpoint(adapter, Set.copyOf(excludedEndpoints)));
    }
  }

  private void cancelCurrent(boolean connectionSuspect, List<AttemptCommand> commands) {
    currentAttempt.ifPresent(
        attempt ->
            commands.add(
                new AttemptCommand.CancelAttempt(
                    attempt, currentEndpoint.orElseThrow(), connectionSuspect)));
  }

  private void abandon(
      AttemptError.Cause cause, long retryAfterMillis, List<AttemptCommand> commands) {
    ended = true;
    RunState state = mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN;
    if (deliveredTokens > 0) {
      state = RunState.RAN;
    }
    commands.add(
        new AttemptCommand.FailResponse(
            new AttemptError(cause, state, deliveredTokens, OptionalLong.of(retryAfterMillis))));
  }

  /**
   * Checks the chunk timeout and the deadline.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands to carry out
   */
  public List<AttemptCommand> checkTimeouts(long nowMillis) {
    List<AttemptCommand> commands = new ArrayList<>();
    if (ended) {
      return commands;
    }
    if (nowMillis >= deadlineMillis) {
      mayHaveRun |= currentAttempt.isPresent();
      cancelCurrent(false, commands);
      currentAttempt = Optional.empty();
      abandon(AttemptError.Cause.DEADLINE, limits.retryAfterMillis(), commands);
    } else if (currentAttempt.isPresent() && nowMillis >= chunkDeadlineMillis) {
      endAttempt(AttemptFailure.SILENT, nowMillis, commands);
    }
    return commands;
  }

  /**
   * Ends the stream because its caller has disconnected.
   *
   * @return the commands to carry out
   */
  public List<AttemptCommand> onCallerDisconnected() {
    List<AttemptCommand> commands = new ArrayList<>();
    if (!ended) {
      ended = true;
      cancelCurrent(false, commands);
      currentAttempt = Optional.empty();
    }
    return commands;
  }
}
