package org.lentilhinge.overlay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.lentilhinge.lease.RendezvousHash;

/**
 * Selects the hosts to which a host sends heartbeats and gossip: those at the distances 1, 2, 4 and
 * so on from it in a ring of all hosts in the order of their hashes (the fingers of Chord, Stoica
 * et al. 2001). Gossip along them reaches each host in a number of steps that grows with the
 * logarithm of the number of hosts.
 */
final class HostRing {

  /** Up to this number of other hosts, all of them are neighbors. */
  private static final int FULL_MESH_HOSTS = 8;

  private HostRing() {}

  /** Returns the neighbors of a host, which are the fewest that keep the ring connected. */
  static Set<String> neighbors(String self, Collection<String> others) {
    if (others.size() <= FULL_MESH_HOSTS) {
      return new LinkedHashSet<>(others);
    }
    List<String> ring = new ArrayList<>(others);
    ring.add(self);
    ring.sort(
        Comparator.<String>comparingLong(RendezvousHash::hash)
            .thenComparing(Comparator.naturalOrder()));
    int position = ring.indexOf(self);
    Set<String> neighbors = new LinkedHashSet<>();
    for (int distance = 1; distance < ring.size(); distance *= 2) {
      neighbors.add(ring.get((position + distance) % ring.size()));
    }
    return neighbors;
  }
}
