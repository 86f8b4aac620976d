package org.lentilhinge.booking;

/** Whether the call of a booking ran. */
public enum BookingState {
  /** The call ran exactly once. */
  RAN,
  /** The call did not run, and no request with its key that is still in flight will run it. */
  NOT_RUN,
  /** The call may have run. */
  UNKNOWN
}
