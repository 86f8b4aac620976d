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
public final class AnswerStream {

  private final RequestId request;
  private final AdapterVersion adapter;
  private final AttemptLimits limits;
  private final RetryBudget budget;
  private final AttemptCounters counters;
  private final long deadlineMillis;
  private final Set<EndpointId> excluded = new HashSet<>();
  private final StringBuilder text = new StringBuilder();
  private Optional<AttemptId> current = Optional.empty();
  private Optional<EndpointId> endpoint = Optional.empty();
  private int attempts;
  private int delivered;
  private boolean maybeRun;
  private boolean ended;
  private long silentMillis;

  /**
   * Creates a stream that has not been started.
   *
   * @param request the request
   * @param adapter the adapter version that the caller was routed to
   * @param limits the limits
   * @param budget limits the retries of all requests together
   * @param counters counts the chunks that are not delivered
   * @param deadlineMillis the monotonic time in milliseconds at which the response is abandoned
   */
  public AnswerStream(
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
  public List<AttemptCommand> begin() {
    budget.requestStarted();
    return List.of(new AttemptCommand.ChooseEndpoint(adapter, Set.copyOf(excluded)));
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
   * @param nowMillis the monotonic time in milliseconds
   * @return the commands to carry out
   */
  public List<AttemptCommand> chosen(EndpointId chosen, long nowMillis) {
    List<AttemptCommand> commands = new ArrayList<>();
    if (ended || current.isPresent()) {
      return commands;
    }
    attempts++;
    AttemptId attempt = new AttemptId(request, attempts);
    current = Optional.of(attempt);
    endpoint = Optional.of(chosen);
    silentMillis = nowMillis + limits.firstChunkMillis();
    if (delivered > 0) {
      counters.countResumed();
    }
    commands.add(
        new AttemptCommand.StartAttempt(attempt, chosen, adapter, delivered, text.toString()));
    return commands;
  }

  /**
   * Handles that no endpoint is available.
   *
   * @param retryAfterMillis the time after which the caller may retry, in milliseconds
   * @return the commands to carry out
   */
  public List<AttemptCommand> notChosen(long retryAfterMillis) {
    List<AttemptCommand> commands = new ArrayList<>();
    if (!ended && current.isEmpty()) {
      giveUp(AttemptError.Cause.NO_ENDPOINT, retryAfterMillis, commands);
    }
    return commands;
  }

  /**
   * Handles a chunk, regardless of the connection on which it was received.
   *
   * @param chunk the chunk
   * @param nowMillis the monotonic time in milliseconds
   * @return the commands to carry out
   */
  public List<AttemptCommand> received(AnswerChunk chunk, long nowMillis) {
    List<AttemptCommand> commands = new ArrayList<>();
    if (!isCurrent(chunk)) {
      return commands;
    }
    if (!chunk.adapterVersion().equals(adapter.toString())) {
      counters.countMismatched();
      end(AttemptEnding.MISMATCHED, nowMillis, commands);
    } else if (chunk.offset() == delivered) {
      deliver(chunk, nowMillis, commands);
    } else if (chunk.offset() + chunk.tokens() <= delivered && !chunk.last()) {
      counters.countDuplicated();
    } else {
      end(AttemptEnding.MISPLACED, nowMillis, commands);
    }
    return commands;
  }

  private boolean isCurrent(AnswerChunk chunk) {
    if (!ended && current.map(AttemptId::toString).filter(chunk.attempt()::equals).isPresent()) {
      return true;
    }
    if (chunk.attempt().startsWith(request + "/")) {
      counters.countLate();
    } else {
      counters.countCrossed();
    }
    return false;
  }

  private void deliver(AnswerChunk chunk, long nowMillis, List<AttemptCommand> commands) {
    maybeRun = true;
    delivered += chunk.tokens();
    text.append(chunk.text());
    silentMillis = nowMillis + limits.nextChunkMillis();
    commands.add(new AttemptCommand.DeliverChunk(chunk));
    if (chunk.last()) {
      ended = true;
      current = Optional.empty();
      commands.add(new AttemptCommand.FinishAnswer());
    }
  }

  /**
   * Handles the end of an attempt that sent no last chunk.
   *
   * @param attempt the attempt
   * @param failure how the attempt ended
   * @param nowMillis the monotonic time in milliseconds
   * @return the commands to carry out
   */
  public List<AttemptCommand> failed(AttemptId attempt, AttemptEnding failure, long nowMillis) {
    List<AttemptCommand> commands = new ArrayList<>();
    if (!ended && current.filter(attempt::equals).isPresent()) {
      end(failure, nowMillis, commands);
    }
    return commands;
  }

  private void end(AttemptEnding failure, long nowMillis, List<AttemptCommand> commands) {
    maybeRun |= failure.isMaybeRun();
    if (failure.isMaybeRunning()) {
      cancelCurrent(failure == AttemptEnding.SILENT, commands);
    }
    endpoint.ifPresent(excluded::add);
    current = Optional.empty();
    if (nowMillis >= deadlineMillis) {
      giveUp(AttemptError.Cause.DEADLINE, limits.retryAfterMillis(), commands);
    } else if (attempts >= limits.maximumAttempts()) {
      giveUp(AttemptError.Cause.ATTEMPTS_EXHAUSTED, limits.retryAfterMillis(), commands);
    } else if (!budget.tryRetry()) {
      giveUp(AttemptError.Cause.RETRY_BUDGET_EXHAUSTED, limits.retryAfterMillis(), commands);
    } else {
      commands.add(new AttemptCommand.ChooseEndpoint(adapter, Set.copyOf(excluded)));
    }
  }

  private void cancelCurrent(boolean connectionSuspect, List<AttemptCommand> commands) {
    current.ifPresent(
        attempt ->
            commands.add(
                new AttemptCommand.CancelAttempt(
                    attempt, endpoint.orElseThrow(), connectionSuspect)));
  }

  private void giveUp(
      AttemptError.Cause cause, long retryAfterMillis, List<AttemptCommand> commands) {
    ended = true;
    RunState state = maybeRun ? RunState.UNKNOWN : RunState.NOT_RUN;
    if (delivered > 0) {
      state = RunState.RAN;
    }
    commands.add(
        new AttemptCommand.FailAnswer(
            new AttemptError(cause, state, delivered, OptionalLong.of(retryAfterMillis))));
  }

  /**
   * Checks the chunk timeout and the deadline.
   *
   * @param nowMillis the monotonic time in milliseconds
   * @return the commands to carry out
   */
  public List<AttemptCommand> tick(long nowMillis) {
    List<AttemptCommand> commands = new ArrayList<>();
    if (ended) {
      return commands;
    }
    if (nowMillis >= deadlineMillis) {
      maybeRun |= current.isPresent();
      cancelCurrent(false, commands);
      current = Optional.empty();
      giveUp(AttemptError.Cause.DEADLINE, limits.retryAfterMillis(), commands);
    } else if (current.isPresent() && nowMillis >= silentMillis) {
      end(AttemptEnding.SILENT, nowMillis, commands);
    }
    return commands;
  }

  /**
   * Ends the stream because its caller has disconnected.
   *
   * @return the commands to carry out
   */
  public List<AttemptCommand> callerGone() {
    List<AttemptCommand> commands = new ArrayList<>();
    if (!ended) {
      ended = true;
      cancelCurrent(false, commands);
      current = Optional.empty();
    }
    return commands;
  }
}
