package org.lentilhinge.fleet;

/** Tells whether an endpoint takes new work. */
public enum EndpointState {
  /** It takes new work. */
  READY,
  /** It finishes what it has and leaves. */
  DRAINING
}
