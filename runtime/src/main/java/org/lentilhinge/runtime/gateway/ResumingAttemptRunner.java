package org.lentilhinge.runtime.gateway;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Flowable;
import java.util.function.LongSupplier;
import org.lentilhinge.attempt.AttemptCounters;
import org.lentilhinge.attempt.AttemptLimits;
import org.lentilhinge.attempt.RetryBudget;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.engine.EngineClient;
import org.lentilhinge.runtime.metric.MetricNames;

/**
 * Runs a completion on one engine after another until its response is complete, as directed by
 * {@link org.lentilhinge.attempt.ResponseStream}. Each further attempt resumes the response where
 * the previous attempt was interrupted, on the same adapter version. An attempt is reported as
 * ended before the next one starts, so that the dispatcher sees at most one attempt of a request at
 * a time.
 *
 * <p>Inactivity timeouts are enforced by the engine client, which knows when no chunk was
 * requested; the chunk timeouts of the attempt limits are not used here.
 */
public final class ResumingAttemptRunner implements AttemptRunner {

  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double MAXIMUM_SAVED_RETRIES = 10;

  private final Dispatcher dispatcher;
  private final EngineClient engines;
  private final AttemptLimits limits;
  private final RetryBudget budget;
  private final DecisionLog decisions;
  private final MetricRegistry metrics;
  private final LongSupplier nowMillis;
  private final AttemptCounters counters = new AttemptCounters();

  /**
   * Creates a runner. All its completions must run on the same Vert.x context.
   *
   * @param dispatcher assigns the endpoints
   * @param engines the client of the engines
   * @param limits the limits on the attempts of one completion
   * @param budget the retry budget shared by all completions
   * @param decisions the decision log, which records each assignment, resume and refusal
   * @param metrics the registry that measures the waits and counts resumes and dropped chunks
   * @param nowMillis the host's monotonic clock, in milliseconds
   */
  public ResumingAttemptRunner(
      Dispatcher dispatcher,
      EngineClient engines,
      AttemptLimits limits,
      RetryBudget budget,
      DecisionLog decisions,
      MetricRegistry metrics,
      LongSupplier nowMillis) {
    this.dispatcher = dispatcher;
    this.engines = engines;
    this.limits = limits;
    this.budget = budget;
    this.decisions = decisions;
    this.metrics = metrics;
    this.nowMillis = nowMillis;
    metrics.gauge(MetricNames.DROPPED_CHUNKS, () -> this::droppedChunks);
    metrics.gauge(MetricNames.MISMATCHED_ATTEMPTS, () -> counters::mismatched);
  }

  /**
   * Creates a runner with the default limits and a retry budget of a tenth of the requests.
   *
   * @param dispatcher assigns the endpoints
   * @param engines the client of the engines
   * @param decisions the decision log, which records each assignment, resume and refusal
   * @param metrics the registry that measures the waits and counts resumes and dropped chunks
   * @param nowMillis the host's monotonic clock, in milliseconds
   * @return the runner
   */
  public static ResumingAttemptRunner withDefaults(
      Dispatcher dispatcher,
      EngineClient engines,
      DecisionLog decisions,
      MetricRegistry metrics,
      LongSupplier nowMillis) {
    RetryBudget budget = new RetryBudget(RETRIES_PER_REQUEST, MAXIMUM_SAVED_RETRIES);
    return new ResumingAttemptRunner(
        dispatcher, engines, AttemptLimits.DEFAULT, budget, decisions, metrics, nowMillis);
  }

  @Override
  public Flowable<CompletionChunk> run(CompletionJob job) {
    return Flowable.defer(() -> new CompletionRun(this, job).start());
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  EngineClient engines() {
    return engines;
  }

  AttemptLimits limits() {
    return limits;
  }

  RetryBudget budget() {
    return budget;
  }

  DecisionLog decisions() {
    return decisions;
  }

  MetricRegistry metrics() {
    return metrics;
  }

  AttemptCounters counters() {
    return counters;
  }

  long nowMillis() {
    return nowMillis.getAsLong();
  }

  private long droppedChunks() {
    return counters.late() + counters.misrouted() + counters.duplicated();
  }
}
