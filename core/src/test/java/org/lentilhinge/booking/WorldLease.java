package org.lentilhinge.booking;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.lentilhinge.identity.HostId;

/** Leases each partition to one host at a time, as a majority of the zone's hosts would. */
final class WorldLease {

  static final long LEASE_MILLIS = 300;

  private final Map<BookingPartition, Grant> grants = new HashMap<>();

  /** Renews the leases of reachable owners and grants the free leases. */
  void renew(
      List<HostId> hosts, Predicate<HostId> reachable, Predicate<HostId> eligible, long nowMillis) {
    for (int number = 0; number < BookingPartition.PARTITIONS; number++) {
      BookingPartition partition = new BookingPartition(BookingWorld.ZONE, number);
      Grant lease = grants.get(partition);
      if (lease != null && lease.expiryMillis > nowMillis) {
        if (reachable.test(lease.holder)) {
          lease.expiryMillis = nowMillis + LEASE_MILLIS;
        }
      } else {
        grants.remove(partition);
        int first = number % hosts.size();
        for (int index = 0; index < hosts.size() && !grants.containsKey(partition); index++) {
          HostId host = hosts.get((first + index) % hosts.size());
          if (reachable.test(host) && eligible.test(host)) {
            grants.put(partition, new Grant(host, nowMillis, nowMillis + LEASE_MILLIS));
          }
        }
      }
    }
  }

  boolean holds(HostId host, BookingPartition partition, long nowMillis) {
    Grant lease = grants.get(partition);
    return lease != null && lease.holder.equals(host) && nowMillis < lease.expiryMillis;
  }

  Optional<Long> since(HostId host, BookingPartition partition) {
    return Optional.ofNullable(grants.get(partition))
        .filter(lease -> lease.holder.equals(host))
        .map(lease -> lease.sinceMillis);
  }

  Optional<HostId> holder(BookingPartition partition) {
    return Optional.ofNullable(grants.get(partition)).map(lease -> lease.holder);
  }

  /** Ends all leases of a host that has stopped. */
  void release(HostId host) {
    grants.values().removeIf(lease -> lease.holder.equals(host));
  }

  private static final class Grant {

    private final HostId holder;
    private final long sinceMillis;
    private long expiryMillis;

    private Grant(HostId holder, long sinceMillis, long expiryMillis) {
      this.holder = holder;
      this.sinceMillis = sinceMillis;
      this.expiryMillis = expiryMillis;
    }
  }
}
