package org.lentilhinge.lease;

/** The outcome of a {@link LeaseRequest}. */
public enum LeaseStatus {
  /** The grantor votes for the holder of all endpoints except the refused ones. */
  GRANTED,
  /** The grantor does not know the set with this digest; the holder must send it in full. */
  SET_UNKNOWN,
  /** The grantor has active lists that the request did not name. */
  LISTS_DIFFER,
  /** The grantor has just started or its clock has jumped, so it may have lost a vote. */
  QUARANTINED,
  /**
   * The holder has not acknowledged a reply for longer than a lease, and thus cannot use a vote.
   */
  UNHEARD,
  /** The grantor is leaving and no longer votes. */
  RETIRED
}
