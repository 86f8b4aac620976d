package org.lentilhinge.runtime.forward;

import io.vertx.core.Vertx;
import org.lentilhinge.permit.EngineScheduler;

/** Repeats the decisions of an engine's scheduler while requests wait for prefill. */
final class DecisionTimer {

  private static final long INTERVAL_MILLIS = 15;

  private final Vertx vertx;
  private final EngineScheduler scheduler;
  private final Runnable decision;
  private boolean scheduled;
  private boolean closed;

  DecisionTimer(Vertx vertx, EngineScheduler scheduler, Runnable decision) {
    this.vertx = vertx;
    this.scheduler = scheduler;
    this.decision = decision;
  }

  void scheduleIfWaiting() {
    if (!scheduled && !closed && scheduler.hasWaiting()) {
      scheduled = true;
      vertx.setTimer(INTERVAL_MILLIS, id -> decide());
    }
  }

  private void decide() {
    scheduled = false;
    decision.run();
  }

  void close() {
    closed = true;
  }
}
