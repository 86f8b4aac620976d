package org.lentilhinge.emulator.engine;

import java.util.ArrayDeque;
import java.util.Queue;

/** Runs decoding steps only when a test calls {@link #step}. */
public final class ManualStepTimer implements StepTimer {

  private final Queue<Runnable> pendingSteps = new ArrayDeque<>();

  @Override
  public synchronized void schedule(Runnable step) {
    pendingSteps.add(step);
    notifyAll();
  }

  /**
   * Waits until an engine has scheduled a step and runs this step on the calling thread.
   *
   * @throws InterruptedException if the wait is interrupted
   */
  public void step() throws InterruptedException {
    Runnable step;
    synchronized (this) {
      MonitorWait.until(this, () -> !pendingSteps.isEmpty());
      step = pendingSteps.remove();
    }
    step.run();
  }
}
