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
 * Runs a completion on one engine after another until its answer is whole, as {@link
 * org.lentilhinge.attempt.ResponseStream} decides. A further attempt continues where the answer
 * broke off, on the same adapter version. An attempt is reported as ended before the next begins,
 * so that the dispatcher sees at most one attempt of a request at a time.
 *
 * <p>Silence is watched by the engine client, which knows when nothing was asked for; the limits'
 * times of silence are not used here.
 */
public final class ResumingAttemptRunner implements AttemptRunner {

  private static final double RETRY_SHARE = 0.1;
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
   * Creates a runner. All its completions run on one Vert.x context.
   *
   * @param dispatcher chooses the endpoints
   * @param engines speaks with them
   * @param limits bounds the attempts of one completion
   * @param budget bounds the further attempts of all completions together
   * @param decisions logs each choice, each resume and each refusal
   * @param metrics measures the waits and counts resumes and dropped pieces
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
   * Creates a runner with the default limits, whose retries are a tenth of the requests at most.
   *
   * @param dispatcher chooses the endpoints
   * @param engines speaks with them
   * @param decisions logs each choice, each resume and each refusal
   * @param metrics measures the waits and counts resumes and dropped pieces
   * @param nowMillis the host's monotonic clock, in milliseconds
   * @return the runner
   */
  public static ResumingAttemptRunner withDefaults(
      Dispatcher dispatcher,
      EngineClient engines,
      DecisionLog decisions,
      MetricRegistry metrics,
      LongSupplier nowMillis) {
    RetryBudget budget = new RetryBudget(RETRY_SHARE, MAXIMUM_SAVED_RETRIES);
    return new ResumingAttemptRunner(
        dispatcher, engines, AttemptLimits.DEFAULT, budget, decisions, metrics, nowMillis);
  }

  @Override
  public Flowable<AnswerPiece> run(CompletionJob job) {
    return Flowable.defer(() -> new AnswerRun(this, job).start());
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
