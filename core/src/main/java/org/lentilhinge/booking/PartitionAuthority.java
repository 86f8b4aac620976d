package org.lentilhinge.booking;

import java.util.OptionalLong;

/**
 * Determines whether this host owns a partition of ordinary idempotency keys. An implementation
 * must guarantee that at most one host at a time owns a partition, for instance by a lease that a
 * majority of the zone's listed hosts grant.
 */
public interface PartitionAuthority {

  /**
   * Returns whether this host may run calls of the partition.
   *
   * @param partition the partition
   * @param nowMillis the monotonic time in milliseconds
   * @return whether this host, and therefore no other host, may run them
   */
  boolean mayRun(BookingPartition partition, long nowMillis);

  /**
   * Returns the time since which this incarnation of the host has owned the partition without
   * interruption.
   *
   * @param partition the partition
   * @return the monotonic time in milliseconds at which the current ownership began, or empty if
   *     this host does not own the partition
   */
  OptionalLong ownedSinceMillis(BookingPartition partition);
}
