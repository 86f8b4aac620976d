package org.lentilhinge.runtime.host;

import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.net.HostAndPort;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.host.HostEvent;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.runtime.engine.Addresses;
import org.lentilhinge.runtime.peer.PeerAddress;
import org.lentilhinge.runtime.peer.PeerNetwork;
import org.lentilhinge.runtime.platform.HostList;
import org.lentilhinge.runtime.platform.HostListing;
import org.lentilhinge.runtime.platform.ListedEndpoint;

/** Polls the host list of the platform, and maintains the links to the listed hosts. */
final class HostListPoller {

  private final HostEventLoop loop;
  private final Optional<HostList> hostList;
  private final ZoneId zone;
  private final List<ListedHost> seeds;
  private final PeerNetwork peers;
  private List<ListedHost> connectedHosts = List.of();
  private boolean readInProgress;

  HostListPoller(
      HostEventLoop loop,
      Optional<HostList> hostList,
      ZoneId zone,
      List<ListedHost> seeds,
      PeerNetwork peers) {
    this.loop = loop;
    this.zone = zone;
    this.hostList = hostList;
    this.seeds = seeds;
    this.peers = peers;
  }

  /** Applies the seed hosts of the settings, then reads the host list. */
  void start() {
    applyListing(new HostListing(seeds, List.of()));
    poll();
  }

  /** Reads the host list unless a read is in progress. Without a host list, the seeds are used. */
  void poll() {
    if (hostList.isEmpty()) {
      applyListing(new HostListing(seeds, List.of()));
      return;
    }
    if (readInProgress) {
      return;
    }
    readInProgress = true;
    Disposable unused =
        hostList
            .get()
            .read()
            .subscribe(
                listing ->
                    loop.run(
                        () -> {
                          readInProgress = false;
                          applyListing(listing);
                        }),
                error -> loop.run(() -> readInProgress = false));
  }

  private void applyListing(HostListing listing) {
    loop.process(new HostEvent.HostsListed(listing.hosts()));
    Set<EndpointId> draining = new HashSet<>();
    listing.endpoints().stream()
        .filter(ListedEndpoint::leaving)
        .map(ListedEndpoint::id)
        .forEach(draining::add);
    draining.forEach(endpoint -> loop.process(new HostEvent.EndpointLeaving(endpoint)));
    if (!listing.hosts().equals(connectedHosts)) {
      connectedHosts = listing.hosts();
      peers.updatePeers(peerAddresses(connectedHosts));
    }
  }

  /**
   * Returns the addresses of the listed hosts and of the seeds, which are included so that an
   * outdated list does not disconnect a host.
   */
  private List<PeerAddress> peerAddresses(List<ListedHost> hosts) {
    List<PeerAddress> addresses = new ArrayList<>();
    Set<String> added = new HashSet<>();
    List<ListedHost> hostsAndSeeds = new ArrayList<>(hosts);
    hostsAndSeeds.addAll(seeds);
    for (ListedHost host : hostsAndSeeds) {
      if (added.add(host.host().value())) {
        addresses.add(addressOf(host));
      }
    }
    return addresses;
  }

  /** Returns the address of a host; links within the zone are kept open. */
  private PeerAddress addressOf(ListedHost host) {
    HostAndPort address = Addresses.parse(host.address());
    boolean persistent = host.zone().equals(zone);
    return new PeerAddress(host.host(), persistent, address.host(), address.port());
  }
}
