package org.lentilhinge.emulator.engine;

import io.vertx.core.Vertx;

/** Runs each step after a fixed delay. */
public final class FixedDelayStepTimer implements StepTimer {

  private final Vertx vertx;
  private final long stepMillis;

  /**
   * Creates a timer.
   *
   * @param vertx the Vert.x instance that runs the steps
   * @param stepMillis the delay before each step in milliseconds; 0 runs the steps without delay
   */
  public FixedDelayStepTimer(Vertx vertx, long stepMillis) {
    this.vertx = vertx;
    this.stepMillis = stepMillis;
  }

  @Override
  public void schedule(Runnable step) {
    if (stepMillis == 0) {
      vertx.runOnContext(ignored -> step.run());
    } else {
      vertx.setTimer(stepMillis, ignored -> step.run());
    }
  }
}
