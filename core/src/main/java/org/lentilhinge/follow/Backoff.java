package org.lentilhinge.follow;

import java.util.random.RandomGenerator;

/** Computes exponentially growing delays between attempts after failures, with jitter. */
final class Backoff {

  private static final long INITIAL_DELAY_MILLIS = 500;
  private static final long MAXIMUM_DELAY_MILLIS = 5_000;
  private static final int MAXIMUM_DOUBLINGS = 4;

  private final RandomGenerator random;
  private int failures;

  Backoff(RandomGenerator random) {
    this.random = random;
  }

  void reset() {
    failures = 0;
  }

  /**
   * Counts a failure and returns the delay before the next attempt, in milliseconds: a random value
   * between half of the current bound and the bound.
   */
  long nextDelayMillis() {
    long boundMillis =
        Math.min(
            MAXIMUM_DELAY_MILLIS, INITIAL_DELAY_MILLIS << Math.min(failures, MAXIMUM_DOUBLINGS));
    failures++;
    return boundMillis / 2 + random.nextLong(boundMillis / 2 + 1);
  }
}
