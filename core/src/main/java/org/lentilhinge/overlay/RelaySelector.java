package org.lentilhinge.overlay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.lentilhinge.lease.RendezvousHash;

/**
 * Selects the hosts that receive a message for all hosts first: one relay in each zone, which
 * passes it on to the hosts of its zone, or all hosts of a small zone.
 */
public final class RelaySelector {

  /** Zones with up to this number of other hosts receive messages without a relay. */
  private static final int DIRECT_HOSTS = 4;

  /** The number of relays of a zone, which divide the sending hosts among them. */
  private static final int RELAYS = 2;

  private final HostRecord self;

  /**
   * A host that receives a message first.
   *
   * @param host the host, which may be this host itself as a relay
   * @param relays whether it has to pass the message on to the other hosts of its zone
   */
  public record Target(String host, boolean relays) {}

  /**
   * Creates a selector.
   *
   * @param self this host
   */
  public RelaySelector(HostRecord self) {
    this.self = self;
  }

  /**
   * Selects the hosts that receive a message first.
   *
   * @param hosts the other live hosts
   * @param reachable whether messages reach a host
   * @return the receiving hosts
   */
  public List<Target> select(Collection<HostRecord> hosts, Predicate<String> reachable) {
    Map<String, List<HostRecord>> zones = new TreeMap<>();
    hosts.forEach(
        host -> zones.computeIfAbsent(host.zone(), unused -> new ArrayList<>()).add(host));
    List<Target> targets = new ArrayList<>();
    zones.forEach(
        (zone, members) -> {
          if (members.size() <= DIRECT_HOSTS) {
            members.forEach(host -> targets.add(new Target(host.host(), false)));
          } else {
            relay(zone, members, reachable)
                .ifPresent(host -> targets.add(new Target(host.host(), true)));
          }
        });
    return targets;
  }

  private Optional<HostRecord> relay(
      String zone, List<HostRecord> members, Predicate<String> reachable) {
    List<HostRecord> candidates = new ArrayList<>(members);
    if (zone.equals(self.zone())) {
      candidates.add(self);
    }
    String key = zone + '/' + Math.floorMod(RendezvousHash.hash(self.host()), RELAYS);
    return candidates.stream()
        .filter(host -> !host.leaving() && reachable.test(host.host()))
        .max(
            Comparator.<HostRecord, Long>comparing(
                    host -> RendezvousHash.weight(key, host.host()), Long::compareUnsigned)
                .thenComparing(HostRecord::host));
  }
}
