package org.lentilhinge.replay;

import org.lentilhinge.store.LoadPermits;

/**
 * Grants load permits for the entire fleet from one budget, as a store that limits its own rate.
 */
final class SingleStoreQueue implements LoadPermits {

  private static final double LOADS_PER_MILLI = 2.5 / 1000;
  private static final int LOADS_IN_FLIGHT = 8;

  private double credit = LOADS_IN_FLIGHT;
  private long accruedMillis;
  private int inFlight;

  @Override
  public boolean tryStart(boolean speculative, long nowMillis) {
    credit = Math.min(LOADS_IN_FLIGHT, credit + (nowMillis - accruedMillis) * LOADS_PER_MILLI);
    accruedMillis = nowMillis;
    if (credit < 1 || inFlight >= LOADS_IN_FLIGHT) {
      return false;
    }
    credit--;
    inFlight++;
    return true;
  }

  @Override
  public long expectedWaitMillis(int loadsAhead, long nowMillis) {
    return (long) Math.max(0, (loadsAhead + 1 - credit) / LOADS_PER_MILLI);
  }

  @Override
  public void finish(long nowMillis) {
    inFlight--;
  }

  @Override
  public void wanted(double waitingRequestSeconds, long nowMillis) {
    // Demand is ignored: permits are granted in the order of the calls.
  }
}
