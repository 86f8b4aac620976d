package org.lentilhinge.grant;

/** The outcome of a demand for one version. */
public enum GrantOutcome {
  /** The version is resident and may be used for the granted duration. */
  GRANTED,
  /** The owner is loading the version; another answer follows. */
  LOADING,
  /** The host does not own the endpoint. */
  NOT_OWNER,
  /** No slot can be freed for the version. */
  NO_SLOT,
  /** The load budget of the weight store is exhausted. */
  STORE_BUSY,
  /** The version could not be loaded. */
  LOAD_FAILED,
  /** The endpoint is leaving. */
  LEAVING,
  /** The owner did not reply in time. */
  UNREACHABLE
}
