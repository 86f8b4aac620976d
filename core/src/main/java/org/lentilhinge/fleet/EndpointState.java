package org.lentilhinge.fleet;

/** The states of an endpoint. */
public enum EndpointState {
  /** The endpoint accepts new requests. */
  READY,
  /** The endpoint finishes its running requests and then stops. */
  DRAINING
}
