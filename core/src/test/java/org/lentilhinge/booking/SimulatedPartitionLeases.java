package org.lentilhinge.booking;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.lentilhinge.identity.HostId;

/** Leases each partition to one host at a time, as a majority of the zone's hosts would. */
final class SimulatedPartitionLeases {

  static final long LEASE_MILLIS = 300;

  private final Map<BookingPartition, Lease> leases = new HashMap<>();

  /** Renews the leases of reachable owners and grants the free leases. */
  void renew(
      List<HostId> hosts, Predicate<HostId> reachable, Predicate<HostId> eligible, long nowMillis) {
    for (int number = 0; number < BookingPartition.PARTITIONS; number++) {
      BookingPartition partition = new BookingPartition(BookingSimulation.ZONE, number);
      Lease lease = leases.get(partition);
      if (lease != null && lease.expiresAtMillis > nowMillis) {
        if (reachable.test(lease.owner)) {
          lease.expiresAtMillis = nowMillis + LEASE_MILLIS;
        }
      } else {
        leases.remove(partition);
        int first = number % hosts.size();
        for (int index = 0; index < hosts.size() && !leases.containsKey(partition); index++) {
          HostId host = hosts.get((first + index) % hosts.size());
          if (reachable.test(host) && eligible.test(host)) {
            leases.put(partition, new Lease(host, nowMillis, nowMillis + LEASE_MILLIS));
          }
        }
      }
    }
  }

  boolean isOwner(HostId host, BookingPartition partition, long nowMillis) {
    Lease lease = leases.get(partition);
    return lease != null && lease.owner.equals(host) && nowMillis < lease.expiresAtMillis;
  }

  Optional<Long> grantedAtMillis(HostId host, BookingPartition partition) {
    return Optional.ofNullable(leases.get(partition))
        .filter(lease -> lease.owner.equals(host))
        .map(lease -> lease.grantedAtMillis);
  }

  Optional<HostId> owner(BookingPartition partition) {
    return Optional.ofNullable(leases.get(partition)).map(lease -> lease.owner);
  }

  /** Ends all leases of a host that has stopped. */
  void release(HostId host) {
    leases.values().removeIf(lease -> lease.owner.equals(host));
  }

  private static final class Lease {

    private final HostId owner;
    private final long grantedAtMillis;
    private long expiresAtMillis;

    private Lease(HostId owner, long grantedAtMillis, long expiresAtMillis) {
      this.owner = owner;
      this.grantedAtMillis = grantedAtMillis;
      this.expiresAtMillis = expiresAtMillis;
    }
  }
}
