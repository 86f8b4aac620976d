package org.lentilhinge.membership;

/** The state of an entry host as observed by another host. */
public enum MemberState {
  /** Heartbeats from the host arrive, and it accepts work. */
  LIVE,
  /** Several heartbeats of the host are missing, or it does not receive those of this host. */
  SUSPECT,
  /** The host has announced its planned stop, or the platform lists the host as leaving. */
  LEAVING,
  /** No heartbeat from the host has arrived for a long time, or ever. */
  GONE
}
