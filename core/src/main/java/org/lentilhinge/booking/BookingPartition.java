package org.lentilhinge.booking;

import org.lentilhinge.identity.ZoneId;

/**
 * Identifies a partition of the idempotency keys that are stored in one availability zone. At any
 * time at most one entry host of the zone owns a partition.
 *
 * @param zone the home zone of the keys' services
 * @param number the partition's number in the zone, from 0
 */
public record BookingPartition(ZoneId zone, int number) implements Comparable<BookingPartition> {

  /** The number of partitions in a zone. */
  public static final int PARTITIONS = 16;

  /**
   * Returns the partition of a key.
   *
   * @param zone the service's home zone
   * @param key the key
   * @return the partition, the same on every host
   */
  public static BookingPartition of(ZoneId zone, BookingKey key) {
    int digest = key.service().value().hashCode();
    digest = 31 * digest + key.caller().value().hashCode();
    digest = 31 * digest + key.value().hashCode();
    digest ^= digest >>> 16;
    return new BookingPartition(zone, Math.floorMod(digest, PARTITIONS));
  }

  @Override
  public int compareTo(BookingPartition other) {
    int byZone = zone.compareTo(other.zone);
    return byZone != 0 ? byZone : Integer.compare(number, other.number);
  }

  @Override
  public String toString() {
    return zone + "#" + number;
  }
}
