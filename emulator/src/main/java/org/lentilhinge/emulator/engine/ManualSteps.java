package org.lentilhinge.emulator.engine;

import java.util.ArrayDeque;
import java.util.Queue;

/** Runs decoding steps only when a test calls {@link #step}. */
public final class ManualSteps implements StepTimer {

  private final Queue<Runnable> due = new ArrayDeque<>();

  @Override
  public synchronized void schedule(Runnable step) {
    due.add(step);
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
      Waits.until(this, () -> !due.isEmpty());
      step = due.remove();
    }
    step.run();
  }
}
