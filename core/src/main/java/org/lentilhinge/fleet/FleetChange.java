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
    /** The endpoint has started to drain and accepts no new requests. */
    DRAINING,
    /** The registration of this incarnation no longer exists. */
    GONE
  }
}
