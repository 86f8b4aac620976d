package org.lentilhinge.configuration;

/** Whether an endpoint checks the fencing token of the orders that it receives. */
public enum FencingSupport {
  /**
   * The endpoint refuses an order whose fencing token is lower than the highest received so far.
   */
  CHECKED,
  /** The endpoint accepts any order. */
  IGNORED
}
