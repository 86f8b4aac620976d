package org.lentilhinge.replay;

import org.lentilhinge.store.LoadPermits;

/**
 * Grants load permits for the entire fleet from one budget, as a store that limits its own rate.
 */
final class SingleStoreQueue implements LoadPermits {

  private static final double LOADS_PER_MILLISECOND = 2.5 / 1000;
  private static final int MAXIMUM_LOADS_IN_FLIGHT = 8;

  private double tokens = MAXIMUM_LOADS_IN_FLIGHT;
  private long refilledAtMillis;
  private int inFlight;

  @Override
  public boolean tryStart(boolean speculative, long nowMillis) {
    tokens =
        Math.min(
            MAXIMUM_LOADS_IN_FLIGHT,
            tokens + (nowMillis - refilledAtMillis) * LOADS_PER_MILLISECOND);
    refilledAtMillis = nowMillis;
    if (tokens < 1 || inFlight >= MAXIMUM_LOADS_IN_FLIGHT) {
      return false;
    }
    tokens--;
    inFlight++;
    return true;
  }

  @Override
  public long expectedWaitMillis(int loadsAhead, long nowMillis) {
    return (long) Math.max(0, (loadsAhead + 1 - tokens) / LOADS_PER_MILLISECOND);
  }

  @Override
  public void finish(long nowMillis) {
    inFlight--;
  }

  @Override
  public void reportDemand(double waitingRequestSeconds, long nowMillis) {
    // Demand is ignored: permits are granted in the order of the calls.
  }
}
