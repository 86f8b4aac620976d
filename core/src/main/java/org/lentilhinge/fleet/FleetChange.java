package org.lentilhinge.fleet;

/**
 * A change of the state of an endpoint.
 *
 * @param kind the kind of the change
 * @param endpoint the endpoint as last registered
 */
public record FleetChange(Kind kind, FleetEndpoint endpoint) {

  /** The kinds of changes. */
  public enum Kind {
    /** A new incarnation is registered. */
    JOINED,
    /** The endpoint accepts no new requests from now on. */
    DRAINING,
    /** The registration of the endpoint no longer exists. */
    GONE
  }
}
