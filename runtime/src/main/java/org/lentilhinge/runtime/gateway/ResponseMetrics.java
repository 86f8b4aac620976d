package org.lentilhinge.runtime.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;
import org.lentilhinge.runtime.metric.MetricNames;

/** Records the metrics of one response: time to first token, gaps between tokens, and outcome. */
final class ResponseMetrics {

  private final LongSupplier nowMillis;
  private final Histogram firstTokenMillis;
  private final Histogram tokenGapMillis;
  private final Counter tokens;
  private final MetricRegistry metrics;
  private long lastRecordedAtMillis;
  private boolean firstChunkRecorded;

  ResponseMetrics(MetricRegistry metrics, LongSupplier nowMillis) {
    this.metrics = metrics;
    this.nowMillis = nowMillis;
    this.firstTokenMillis = metrics.histogram(MetricNames.FIRST_TOKEN_MILLIS);
    this.tokenGapMillis = metrics.histogram(MetricNames.TOKEN_GAP_MILLIS);
    this.tokens = metrics.counter(MetricNames.TOKENS);
    this.lastRecordedAtMillis = nowMillis.getAsLong();
  }

  boolean hasFirstChunk() {
    return firstChunkRecorded;
  }

  void recordChunk(CompletionChunk chunk) {
    long recordedAtMillis = nowMillis.getAsLong();
    (firstChunkRecorded ? tokenGapMillis : firstTokenMillis)
        .update(recordedAtMillis - lastRecordedAtMillis);
    tokens.inc(chunk.tokens());
    lastRecordedAtMillis = recordedAtMillis;
    firstChunkRecorded = true;
  }

  void recordCompletion() {
    metrics.counter(MetricNames.ANSWERS).inc();
  }

  void recordFailure() {
    metrics
        .counter(firstChunkRecorded ? MetricNames.INTERRUPTED_ANSWERS : MetricNames.REFUSALS)
        .inc();
  }

  void recordDisconnect() {
    metrics.counter(MetricNames.DISCONNECTED_CALLERS).inc();
  }
}
