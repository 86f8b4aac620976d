package org.lentilhinge.lease;

/** The permissions of a host for an endpoint. */
public enum OwnershipLevel {
  /** The host may neither grant uses nor send orders. */
  NONE,
  /**
   * The host may grant uses of resident adapter versions: it has a blocking minority of the votes,
   * so that no other host can win a majority.
   */
  SERVE,
  /** The host is the owner, with a majority of votes, and may send orders as well. */
  ORDER
}
