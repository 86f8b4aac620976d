package org.lentilhinge.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The registered endpoints, updated from complete listings of the store. An incarnation that has
 * started to drain never receives new requests again, and a registration with an earlier
 * incarnation or revision than the known one is ignored.
 */
public final class EndpointRegistry {

  /**
   * The time after a store outage, in milliseconds, within which endpoints whose entries expired
   * during the outage register again. Missing entries are kept until then.
   */
  private static final long REREGISTRATION_MILLIS = 2_000;

  /** The gap between two listings above which a store outage is assumed, in milliseconds. */
  private static final long MAXIMUM_LISTING_GAP_MILLIS = 2_500;

  private final Map<String, FleetEndpoint> endpoints = new HashMap<>();
  private final Set<String> drainingIncarnations = new HashSet<>();
  private Optional<Long> listedAtMillis = Optional.empty();
  private long storeRecoveredAtMillis;

  /** Creates an empty registry. */
  public EndpointRegistry() {
    storeRecoveredAtMillis = -REREGISTRATION_MILLIS;
  }

  /**
   * Updates the registry from a complete listing.
   *
   * @param listing all registrations
   * @param nowMillis the current time, in milliseconds
   * @return the changes
   */
  public List<FleetChange> updateFromListing(Collection<FleetEndpoint> listing, long nowMillis) {
    if (listedAtMillis.isPresent()
        && nowMillis - listedAtMillis.get() > MAXIMUM_LISTING_GAP_MILLIS) {
      storeRecoveredAtMillis = nowMillis;
    }
    listedAtMillis = Optional.of(nowMillis);
    List<FleetChange> changes = new ArrayList<>();
    Set<String> listedIds = new HashSet<>();
    for (FleetEndpoint entry : listing) {
      listedIds.add(entry.id());
      register(entry, changes);
    }
    if (nowMillis - storeRecoveredAtMillis >= REREGISTRATION_MILLIS) {
      removeMissing(listedIds, changes);
    }
    return changes;
  }

  private void register(FleetEndpoint entry, List<FleetChange> changes) {
    FleetEndpoint former = endpoints.get(entry.id());
    boolean outdated =
        former != null
            && (entry.startedAtMillis() < former.startedAtMillis()
                || entry.revision() < former.revision());
    if (outdated) {
      return;
    }
    endpoints.put(entry.id(), entry);
    boolean sameIncarnation = former != null && former.incarnation().equals(entry.incarnation());
    if (!sameIncarnation) {
      if (former != null) {
        changes.add(new FleetChange(FleetChange.Kind.GONE, former));
      }
      changes.add(new FleetChange(FleetChange.Kind.JOINED, entry));
    }
    if (entry.state() == EndpointState.DRAINING && drainingIncarnations.add(entry.incarnation())) {
      changes.add(new FleetChange(FleetChange.Kind.DRAINING, entry));
    }
  }

  private void removeMissing(Set<String> listedIds, List<FleetChange> changes) {
    for (FleetEndpoint registered : List.copyOf(endpoints.values())) {
      if (!listedIds.contains(registered.id())) {
        endpoints.remove(registered.id());
        changes.add(new FleetChange(FleetChange.Kind.GONE, registered));
      }
    }
  }

  /**
   * Records that an endpoint itself reported that it is draining.
   *
   * @param endpoint the endpoint, in the incarnation that is draining
   */
  public void markDraining(FleetEndpoint endpoint) {
    drainingIncarnations.add(endpoint.incarnation());
  }

  /**
   * Returns whether an endpoint accepts new requests.
   *
   * @param endpoint the endpoint
   * @return whether this incarnation is registered and not draining
   */
  public boolean isUsable(FleetEndpoint endpoint) {
    FleetEndpoint registered = endpoints.get(endpoint.id());
    return registered != null
        && registered.incarnation().equals(endpoint.incarnation())
        && !drainingIncarnations.contains(endpoint.incarnation());
  }

  /**
   * Lists the endpoints of a service that accept new requests.
   *
   * @param service the service
   * @return the endpoints, sorted by id
   */
  public List<FleetEndpoint> usableEndpoints(String service) {
    return endpoints.values().stream()
        .filter(endpoint -> endpoint.service().equals(service) && isUsable(endpoint))
        .sorted((first, second) -> first.id().compareTo(second.id()))
        .toList();
  }

  /**
   * Looks up an endpoint.
   *
   * @param id the id of the endpoint
   * @return the endpoint as last registered, or empty if it is not registered
   */
  public Optional<FleetEndpoint> find(String id) {
    return Optional.ofNullable(endpoints.get(id));
  }

  /**
   * Lists all registered endpoints.
   *
   * @return the endpoints
   */
  public Collection<FleetEndpoint> all() {
    return List.copyOf(endpoints.values());
  }

  /**
   * Returns the age of the latest listing.
   *
   * @param nowMillis the current time, in milliseconds
   * @return the age, in milliseconds, or empty if there was no listing
   */
  public Optional<Long> ageMillis(long nowMillis) {
    return listedAtMillis.map(lastMillis -> nowMillis - lastMillis);
  }
}
