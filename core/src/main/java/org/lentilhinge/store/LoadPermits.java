package org.lentilhinge.store;

/** Permits for adapter loads, which limit the rate of starts and the number of loads in flight. */
public interface LoadPermits {

  /**
   * Acquires a permit for one load, if a permit is available. The permit is in use until {@link
   * #finish}.
   *
   * @param speculative whether no request waits for the load; such a load is permitted only if it
   *     leaves a reserve
   * @param nowMillis the monotonic time, in milliseconds
   * @return whether the load may start
   */
  boolean tryStart(boolean speculative, long nowMillis);

  /**
   * Estimates when a further load may start.
   *
   * @param loadsAhead the number of loads of this host that start before the further load
   * @param nowMillis the monotonic time, in milliseconds
   * @return the expected wait, in milliseconds
   */
  long expectedWaitMillis(int loadsAhead, long nowMillis);

  /**
   * Releases one permit in use.
   *
   * @param nowMillis the monotonic time, in milliseconds
   */
  void finish(long nowMillis);

  /**
   * Reports the demand for a further permit.
   *
   * @param waitingRequestSeconds the sum of the waits of the requests that the load in greatest
   *     demand would end, in seconds; 0 if there is no demand
   * @param nowMillis the monotonic time, in milliseconds
   */
  void reportDemand(double waitingRequestSeconds, long nowMillis);
}
