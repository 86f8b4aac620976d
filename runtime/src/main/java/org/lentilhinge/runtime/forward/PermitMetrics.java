package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import org.lentilhinge.permit.EngineCommand;
import org.lentilhinge.permit.PermitAnswer;

/** Counts the permits and refusals of the schedulers that this host runs, by priority. */
final class PermitMetrics {

  /** The highest priority that is counted separately. Less urgent requests count as this one. */
  private static final int LAST_PRIORITY = 9;

  private final MetricRegistry metrics;

  PermitMetrics(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  void record(EngineCommand.Answer answer) {
    int priority = Math.max(0, Math.min(LAST_PRIORITY, answer.request().priority()));
    String name = answer.answer().granted() ? "permits" : "permit-refusals";
    metrics.counter(MetricRegistry.name("forward", name, "priority-" + priority)).inc();
    if (answer.answer().reason().equals(PermitAnswer.DISPLACED)) {
      metrics.counter(MetricRegistry.name("forward", "permits-displaced")).inc();
    }
  }
}
