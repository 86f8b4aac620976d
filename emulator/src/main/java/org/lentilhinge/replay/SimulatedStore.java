package org.lentilhinge.replay;

import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Simulates the weight store: the duration of loads grows while more than eight are in flight. */
final class SimulatedStore {

  private static final long LOAD_MILLIS = 250;
  private static final int LOADS_AT_FULL_SPEED = 8;

  private final VirtualClock clock;
  private final SplittableRandom random;
  private double failureFraction;
  private int inFlight;
  private int loads;

  SimulatedStore(VirtualClock clock, long seed) {
    this.clock = clock;
    this.random = new SplittableRandom(seed);
  }

  void setFailureFraction(double fraction) {
    failureFraction = fraction;
  }

  /** Loads an adapter and then passes to the callback whether the load succeeded. */
  void load(Consumer<Boolean> onEnd) {
    inFlight++;
    loads++;
    long millis = LOAD_MILLIS * Math.max(LOADS_AT_FULL_SPEED, inFlight) / LOADS_AT_FULL_SPEED;
    boolean succeeds = random.nextDouble() >= failureFraction;
    clock.scheduleAfter(
        millis,
        () -> {
          inFlight--;
          onEnd.accept(succeeds);
        });
  }

  int loads() {
    return loads;
  }

  void resetCount() {
    loads = 0;
  }
}
