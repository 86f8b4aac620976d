package org.lentilhinge.lease;

/** The reaction of an owner to an endpoint's refusal of its fencing token. */
public enum FencingRefusalAction {
  /** The token was new in this ownership term and too low: retry with a higher token. */
  RETRY,
  /** Another host became owner later: release the endpoint. */
  STEP_DOWN
}
