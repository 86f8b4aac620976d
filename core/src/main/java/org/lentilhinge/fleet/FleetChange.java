package org.lentilhinge.fleet;

/**
 * Tells a change of what is believed of an endpoint.
 *
 * @param kind what changed
 * @param endpoint the endpoint as last registered
 */
public record FleetChange(Kind kind, FleetEndpoint endpoint) {

  /** Names the changes. */
  public enum Kind {
    /** A new life is registered. */
    JOINED,
    /** It takes no new work from now on. */
    DRAINING,
    /** Its registration is gone. */
    GONE
  }
}
