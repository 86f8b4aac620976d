package org.lentilhinge.configuration;

/** How a plain service handles a call that repeats an idempotency key. */
public enum Deduplication {
  /** The service executes the call again. */
  NONE,
  /** The service returns the response of the first call, and does not execute the call again. */
  BY_KEY
}
