package org.lentilhinge.placement;

/** Lists the reasons why an owner declines to load a version. */
public enum DeclineReason {
  /** The engine accepts no new requests. */
  LEAVING,
  /** All resident versions are in use or were loaded too recently to be evicted. */
  NO_FREE_SLOT,
  /** The load did not complete within the maximum wait. */
  STORE_BUSY,
  /** The last load of the version on this engine failed; it is retried later. */
  LOAD_FAILED,
  /** Loads of the version have failed so often that they are not retried for some time. */
  POISONED
}
