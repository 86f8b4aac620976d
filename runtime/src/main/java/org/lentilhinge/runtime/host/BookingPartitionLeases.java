package org.lentilhinge.runtime.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.booking.BookingPartition;
import org.lentilhinge.booking.PartitionAuthority;
import org.lentilhinge.booking.PartitionDirectory;
import org.lentilhinge.host.EntryHost;
import org.lentilhinge.host.HostCommand;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.lease.LeaseSettings;
import org.lentilhinge.lease.OwnershipLevel;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.membership.ListedHost;

/**
 * Determines the owners of booking partitions by the lease protocol that also determines the owners
 * of engines. A partition is leased like an endpoint without fencing support, so that at most one
 * host acts for it at a time.
 */
final class BookingPartitionLeases implements PartitionAuthority, PartitionDirectory {

  private static final String ENDPOINT_PREFIX = "booking-partition.";

  private final HostEventLoop loop;
  private final ZoneId zone;
  private final LeaseSettings leaseSettings;
  private final Map<EndpointId, Long> exclusiveSinceMillis = new HashMap<>();

  BookingPartitionLeases(HostEventLoop loop, ZoneId zone, LeaseSettings leaseSettings) {
    this.loop = loop;
    this.zone = zone;
    this.leaseSettings = leaseSettings;
  }

  /** Returns the endpoints by which the partitions of a zone are leased. */
  static List<EndpointId> endpoints() {
    List<EndpointId> endpoints = new ArrayList<>();
    for (int number = 0; number < BookingPartition.PARTITIONS; number++) {
      endpoints.add(endpoint(number));
    }
    return endpoints;
  }

  static boolean isPartition(EndpointId endpoint) {
    return endpoint.value().startsWith(ENDPOINT_PREFIX);
  }

  /** Handles a change of this host's ownership level for a partition. */
  void onOwnershipChanged(HostCommand.OwnershipChanged change) {
    if (change.current() != OwnershipLevel.ORDER) {
      exclusiveSinceMillis.remove(change.endpoint());
    } else {
      long waitMillis = leaseSettings.leaseMillis() + leaseSettings.maximumOrderTransitMillis();
      exclusiveSinceMillis.put(change.endpoint(), loop.nowMillis() + waitMillis);
    }
  }

  @Override
  public boolean mayRun(BookingPartition partition, long nowMillis) {
    return partition.zone().equals(zone)
        && loop.host().mayOrder(endpoint(partition.number()), nowMillis);
  }

  @Override
  public OptionalLong ownedSinceMillis(BookingPartition partition) {
    Long sinceMillis = exclusiveSinceMillis.get(endpoint(partition.number()));
    return sinceMillis == null || !partition.zone().equals(zone)
        ? OptionalLong.empty()
        : OptionalLong.of(sinceMillis);
  }

  @Override
  public Optional<HostId> findOwner(BookingPartition partition) {
    EndpointId endpoint = endpoint(partition.number());
    if (partition.zone().equals(zone)) {
      return loop.host().candidate(endpoint);
    }
    Set<HostId> live = loop.host().liveHosts(partition.zone(), loop.nowMillis());
    return RendezvousHash.first(endpoint.value(), live);
  }

  @Override
  public List<HostId> tableHosts(HostId issuer) {
    EntryHost host = loop.host();
    Optional<ZoneId> issuerZone = host.listing(issuer).map(ListedHost::zone);
    Set<HostId> hosts = new LinkedHashSet<>();
    hosts.add(issuer);
    host.knownHosts().stream()
        .filter(
            other ->
                issuerZone.isEmpty()
                    || host.listing(other).map(ListedHost::zone).equals(issuerZone))
        .forEach(hosts::add);
    return List.copyOf(hosts);
  }

  /** Returns the host that will probably own a partition after this host has stopped. */
  Optional<HostId> nextOwner(BookingPartition partition, HostId self) {
    Set<HostId> others = new LinkedHashSet<>(loop.host().liveHosts(zone, loop.nowMillis()));
    others.remove(self);
    return RendezvousHash.first(endpoint(partition.number()).value(), others);
  }

  /** Returns the host that takes over the tickets of this host at a planned stop. */
  Optional<HostId> successor(HostId self) {
    Set<HostId> others = new LinkedHashSet<>(loop.host().liveHosts(zone, loop.nowMillis()));
    others.remove(self);
    return RendezvousHash.first(self.value(), others);
  }

  private static EndpointId endpoint(int number) {
    return new EndpointId(ENDPOINT_PREFIX + number);
  }
}
