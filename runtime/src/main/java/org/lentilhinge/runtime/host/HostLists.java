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
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.runtime.engine.Addresses;
import org.lentilhinge.runtime.peer.PeerAddress;
import org.lentilhinge.runtime.peer.PeerNetwork;
import org.lentilhinge.runtime.platform.HostList;
import org.lentilhinge.runtime.platform.HostListing;
import org.lentilhinge.runtime.platform.ListedEndpoint;

/** Reads the platform's list of hosts, and links to the hosts that it names. */
final class HostLists {

  private final HostLoop loop;
  private final Optional<HostList> platform;
  private final List<ListedHost> seeds;
  private final PeerNetwork peers;
  private List<ListedHost> linked = List.of();
  private boolean reading;

  HostLists(HostLoop loop, Optional<HostList> platform, List<ListedHost> seeds, PeerNetwork peers) {
    this.loop = loop;
    this.platform = platform;
    this.seeds = seeds;
    this.peers = peers;
  }

  /** Begins with the hosts that the settings name. */
  void start() {
    take(new HostListing(seeds, List.of()));
    read();
  }

  /** Reads the list again unless it is being read; without a platform the seeds hold. */
  void read() {
    if (platform.isEmpty()) {
      take(new HostListing(seeds, List.of()));
      return;
    }
    if (reading) {
      return;
    }
    reading = true;
    Disposable unused =
        platform
            .get()
            .read()
            .subscribe(
                listing ->
                    loop.run(
                        () -> {
                          reading = false;
                          take(listing);
                        }),
                error -> loop.run(() -> reading = false));
  }

  private void take(HostListing listing) {
    loop.take(new HostEvent.HostsListed(listing.hosts()));
    Set<EndpointId> now = new HashSet<>();
    listing.endpoints().stream()
        .filter(ListedEndpoint::leaving)
        .map(ListedEndpoint::id)
        .forEach(now::add);
    now.forEach(endpoint -> loop.take(new HostEvent.EndpointLeaving(endpoint)));
    if (!listing.hosts().equals(linked)) {
      linked = listing.hosts();
      peers.updatePeers(addresses(linked));
    }
  }

  /** Links to seeds as well, so that a list that lags does not cut off a host. */
  private List<PeerAddress> addresses(List<ListedHost> hosts) {
    List<PeerAddress> addresses = new ArrayList<>();
    Set<String> named = new HashSet<>();
    List<ListedHost> all = new ArrayList<>(hosts);
    all.addAll(seeds);
    for (ListedHost host : all) {
      if (named.add(host.host().value())) {
        addresses.add(addressOf(host));
      }
    }
    return addresses;
  }

  private static PeerAddress addressOf(ListedHost host) {
    HostAndPort address = Addresses.parse(host.address());
    return new PeerAddress(host.host(), host.zone(), address.host(), address.port());
  }
}
