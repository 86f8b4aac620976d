package org.lentilhinge.emulator.fleet;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for a condition and fails if the condition does not hold within a timeout. */
final class FleetWait {

  private static final long TIMEOUT_SECONDS = 60;
  private static final long POLL_MILLIS = 20;

  private FleetWait() {}

  static void until(String description, Callable<Boolean> condition) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.call()) {
      if (System.nanoTime() > endNanos) {
        throw new AssertionError("condition did not hold in time: " + description);
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
    }
  }
}
