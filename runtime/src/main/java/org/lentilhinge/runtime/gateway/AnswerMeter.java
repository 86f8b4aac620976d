package org.lentilhinge.runtime.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.lentilhinge.runtime.metric.MetricNames;

/** Records the metrics of one response: time to first token, gaps between tokens, and outcome. */
final class AnswerMeter {

  private final LongSupplier nowMillis;
  private final Histogram firstTokenMillis;
  private final Histogram tokenGapMillis;
  private final Counter tokens;
  private final MetricRegistry metrics;
  private long lastMillis;
  private boolean begun;

  AnswerMeter(MetricRegistry metrics, LongSupplier nowMillis) {
    this.metrics = metrics;
    this.nowMillis = nowMillis;
    this.firstTokenMillis = metrics.histogram(MetricNames.FIRST_TOKEN_MILLIS);
    this.tokenGapMillis = metrics.histogram(MetricNames.TOKEN_GAP_MILLIS);
    this.tokens = metrics.counter(MetricNames.TOKENS);
    this.lastMillis = nowMillis.getAsLong();
  }

  boolean hasBegun() {
    return begun;
  }

  void piece(AnswerPiece chunk) {
    long now = nowMillis.getAsLong();
    (begun ? tokenGapMillis : firstTokenMillis).update(now - lastMillis);
    tokens.inc(chunk.tokens());
    lastMillis = now;
    begun = true;
  }

  void whole() {
    metrics.counter(MetricNames.ANSWERS).inc();
  }

  void cut() {
    metrics.counter(begun ? MetricNames.CUT_ANSWERS : MetricNames.REFUSALS).inc();
  }

  void vanished() {
    metrics.counter(MetricNames.VANISHED_CALLERS).inc();
  }
}
