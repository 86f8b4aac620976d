package org.lentilhinge.booking;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.identity.HostId;

/**
 * Finds the hosts that have the tables of keys, as far as this host knows. A wrong result delays a
 * booking but never makes it run twice.
 */
public interface PartitionDirectory {

  /**
   * Finds the owner of a partition.
   *
   * @param partition the partition
   * @return the host that probably owns the partition, or empty if no live host of the zone is
   *     known
   */
  Optional<HostId> findOwner(BookingPartition partition);

  /**
   * Lists the hosts that may have the table of a host that issued a ticket.
   *
   * @param issuer the issuer of the ticket
   * @return the issuer itself and then the other listed hosts of its zone, in the order in which to
   *     try them
   */
  List<HostId> tableHosts(HostId issuer);
}
