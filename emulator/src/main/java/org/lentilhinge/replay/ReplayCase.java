package org.lentilhinge.replay;

/** Events that change the fleet or the load at the start of the measurement. */
public enum ReplayCase {
  /** No change. */
  STEADY,
  /** The least popular adapter becomes the most popular one, with a fifth of all requests. */
  POPULARITY_SHIFT,
  /** All engines restart at the same time, with no adapter loaded. */
  COLD_ENGINES,
  /** Half of all loads fail. */
  FAILING_LOADS,
  /** The arrival rate increases to twice the capacity of the engines' batch slots. */
  DOUBLE_CAPACITY,
  /** An availability zone in the store's region fails with its engines and entry hosts. */
  LOST_ZONE
}
