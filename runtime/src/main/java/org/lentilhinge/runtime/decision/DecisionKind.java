package org.lentilhinge.runtime.decision;

import java.util.Locale;

/** The kinds of decisions that are logged. */
public enum DecisionKind {
  /** An endpoint was selected for a request. */
  ROUTE,
  /** An engine was ordered to load an adapter version. */
  LOAD,
  /** An engine was ordered to unload an adapter version. */
  EVICT,
  /** A request was refused. */
  REFUSE,
  /** A response was continued on another endpoint. */
  RESUME,
  /** The outcome of a call to a plain service was determined. */
  BOOKING,
  /** A lease was granted, acquired or lost. */
  LEASE,
  /** The known state of another host changed. */
  MEMBERSHIP,
  /** A configuration was accepted or rejected. */
  CONFIGURATION;

  /**
   * Returns the name of the kind as it appears in log lines.
   *
   * @return the name in lower case
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
