package org.lentilhinge.placement;

/** Lists the reasons for placement decisions, for the decision log. */
public enum PlacementReason {
  /** Requests wait for the version. */
  REQUESTED,
  /** The version is requested often enough to be loaded before a request waits for it. */
  PREFETCH,
  /** The version is evicted to free its slot for another version. */
  REPLACED,
  /** No gateway can be using the version, and its slot is freed in advance for the next load. */
  IDLE
}
