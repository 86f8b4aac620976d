package org.lentilhinge.emulator.engine;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits on a monitor until a condition holds or a timeout expires. */
public final class MonitorWait {

  private static final long TIMEOUT_MILLIS = 20_000;

  private MonitorWait() {}

  /**
   * Waits until a condition holds. Code that changes the condition must notify the monitor.
   *
   * @param monitor the monitor, which the calling thread must own
   * @param condition the condition
   * @throws InterruptedException if the wait is interrupted
   * @throws IllegalStateException if the condition does not hold within the timeout
   */
  public static void until(Object monitor, BooleanSupplier condition) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!condition.getAsBoolean()) {
      long remainingMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
      if (remainingMillis <= 0) {
        throw new IllegalStateException("condition did not hold within " + TIMEOUT_MILLIS + " ms");
      }
      monitor.wait(remainingMillis);
    }
  }
}
