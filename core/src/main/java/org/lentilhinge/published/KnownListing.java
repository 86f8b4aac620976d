package org.lentilhinge.published;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.lease.RendezvousHash;

/**
 * The latest listing of endpoints that a host knows, from its own reads or from news. News apply to
 * it only if the result has the digest of the sender's listing.
 */
public final class KnownListing {

  private Map<String, FleetEndpoint> endpoints = Map.of();
  private StoreRevision revision = StoreRevision.NONE;

  /** Creates an empty listing. */
  public KnownListing() {}

  /**
   * Replaces the listing by one that this host has read.
   *
   * @param listing the listing
   * @return the news for other hosts, or empty if a newer listing is known already
   */
  public Optional<ListingNews> replace(EndpointListing listing) {
    if (listing.revision().isBefore(revision)) {
      return Optional.empty();
    }
    Map<String, FleetEndpoint> next = new HashMap<>();
    listing.endpoints().forEach(endpoint -> next.put(endpoint.id(), endpoint));
    List<FleetEndpoint> changed =
        next.values().stream()
            .filter(
                endpoint ->
                    !endpoints.containsKey(endpoint.id())
                        || !isSame(endpoint, endpoints.get(endpoint.id())))
            .toList();
    List<String> removed = new ArrayList<>(endpoints.keySet());
    removed.removeAll(next.keySet());
    endpoints = next;
    revision = listing.revision();
    return Optional.of(new ListingNews(revision, digest(next.values()), changed, removed));
  }

  /**
   * Applies news of another host.
   *
   * @param news the news
   * @return the complete listing, or empty if the news do not fit the known listing, so that this
   *     host has to read it
   */
  public Optional<EndpointListing> apply(ListingNews news) {
    if (news.revision().isBefore(revision)) {
      return Optional.empty();
    }
    Map<String, FleetEndpoint> next = new HashMap<>(endpoints);
    news.removedIds().forEach(next::remove);
    news.changed().forEach(endpoint -> next.put(endpoint.id(), endpoint));
    if (digest(next.values()) != news.digest()) {
      return Optional.empty();
    }
    endpoints = next;
    revision = news.revision();
    return Optional.of(new EndpointListing(List.copyOf(next.values()), revision));
  }

  /** Compares all but the fields that each heartbeat of an endpoint changes. */
  private static boolean isSame(FleetEndpoint first, FleetEndpoint second) {
    return digest(List.of(first)) == digest(List.of(second));
  }

  private static long digest(Collection<FleetEndpoint> endpoints) {
    long digest = 0;
    for (FleetEndpoint endpoint : endpoints) {
      digest ^=
          RendezvousHash.hash(
              String.join(
                  "|",
                  endpoint.incarnation(),
                  endpoint.service(),
                  endpoint.address(),
                  endpoint.zone(),
                  endpoint.state().name(),
                  endpoint.softwareVersion(),
                  String.join(",", endpoint.models())));
    }
    return digest;
  }
}
