package org.lentilhinge.emulator.engine;

/** Schedules the decoding steps of an engine. */
@FunctionalInterface
public interface StepTimer {

  /**
   * Schedules a step to run once, never before this method returns.
   *
   * @param step the step
   */
  void schedule(Runnable step);
}
