package org.lentilhinge.store;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.identity.HostId;

/** A collection of leases of in-flight loads, either lent to other hosts or borrowed from them. */
final class InFlightLeases {

  /** Identifies a lease by the other host and the number of the borrower's request. */
  record Key(HostId other, long serial) {}

  private record Lease(int loads, long expiresAtMillis) {}

  private final Map<Key, Lease> leases = new HashMap<>();

  void add(Key key, int loads, long expiresAtMillis) {
    leases.put(key, new Lease(loads, expiresAtMillis));
  }

  void remove(Key key) {
    leases.remove(key);
  }

  /** Returns the number of loads of the leases that do not expire before the given time. */
  int loadsLastingUntil(long millis) {
    int loads = 0;
    for (Lease lease : leases.values()) {
      loads += lease.expiresAtMillis() >= millis ? lease.loads() : 0;
    }
    return loads;
  }

  void removeExpired(long nowMillis) {
    leases.values().removeIf(lease -> lease.expiresAtMillis() < nowMillis);
  }

  /** Removes an arbitrary lease and returns its key, or empty if there is none. */
  Optional<Key> removeOne() {
    Iterator<Key> keys = leases.keySet().iterator();
    if (!keys.hasNext()) {
      return Optional.empty();
    }
    Key key = keys.next();
    keys.remove();
    return Optional.of(key);
  }
}
