package org.lentilhinge.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.identity.StoreRevision;

/**
 * The registered endpoints, updated from complete listings of the store. An incarnation that has
 * started to drain never receives new requests again, and a registration with an earlier
 * incarnation or revision than the known one is ignored.
 */
public final class EndpointRegistry implements VersionHistory {

  /**
   * The time after a store outage, in milliseconds, within which endpoints whose entries expired
   * during the outage register again. Missing entries are kept until then.
   */
  private static final long REREGISTRATION_MILLIS = 2_000;

  /** The gap between two listings above which a store outage is assumed, in milliseconds. */
  private static final long MAXIMUM_LISTING_GAP_MILLIS = 2_500;

  /**
   * The time after a restore of the store, in milliseconds, after which its entries of endpoints
   * that no longer run have expired. Until then, entries of endpoints that had gone are ignored.
   */
  private static final long STALE_ENTRY_MILLIS = 5_000;

  /** The number of gone incarnations that are remembered, and that of draining ones. */
  private static final int MAXIMUM_REMEMBERED_INCARNATIONS = 10_000;

  /** The time for which the versions of endpoints that have gone are remembered. */
  private static final long VERSION_RETENTION_MILLIS = 600_000;

  private final Map<String, FleetEndpoint> endpoints = new HashMap<>();
  private final ServiceVersions versions = new ServiceVersions();
  private final Set<String> goneIncarnations = new LinkedHashSet<>();
  private final Set<String> drainingIncarnations = new LinkedHashSet<>();
  private Optional<Long> listedAtMillis = Optional.empty();
  private long storeRecoveredAtMillis;
  private long era;
  private OptionalLong restoredAtMillis = OptionalLong.empty();

  /** Creates an empty registry. */
  public EndpointRegistry() {
    storeRecoveredAtMillis = -REREGISTRATION_MILLIS;
  }

  /**
   * Updates the registry from a complete listing.
   *
   * @param listing all registrations
   * @param revision the state of the store at the time of the listing
   * @param nowMillis the current time, in milliseconds
   * @return the changes
   */
  public List<FleetChange> updateFromListing(
      Collection<FleetEndpoint> listing, StoreRevision revision, long nowMillis) {
    if (revision.era() > era && listedAtMillis.isPresent()) {
      restoredAtMillis = OptionalLong.of(nowMillis);
      storeRecoveredAtMillis = nowMillis;
    }
    // A host that has just started does not know how long the store has been up.
    boolean outage =
        listedAtMillis
            .map(lastMillis -> nowMillis - lastMillis > MAXIMUM_LISTING_GAP_MILLIS)
            .orElse(true);
    if (outage) {
      storeRecoveredAtMillis = nowMillis;
    }
    era = revision.era();
    listedAtMillis = Optional.of(nowMillis);
    List<FleetChange> changes = new ArrayList<>();
    Set<String> listedIds = new HashSet<>();
    for (FleetEndpoint entry : listing) {
      listedIds.add(entry.id());
      if (!isStale(entry, nowMillis)) {
        register(entry, changes);
      }
    }
    if (nowMillis - storeRecoveredAtMillis >= REREGISTRATION_MILLIS) {
      removeMissing(listedIds, changes);
    }
    recordVersions(nowMillis);
    return changes;
  }

  private void recordVersions(long nowMillis) {
    versions.expire(nowMillis - VERSION_RETENTION_MILLIS);
    for (FleetEndpoint endpoint : endpoints.values()) {
      versions.recordListed(endpoint.service(), endpoint.softwareVersion(), nowMillis);
    }
  }

  /** Indicates whether an entry is of an endpoint that had gone before the store was restored. */
  private boolean isStale(FleetEndpoint entry, long nowMillis) {
    return goneIncarnations.contains(entry.incarnation())
        && restoredAtMillis.isPresent()
        && nowMillis - restoredAtMillis.getAsLong() < STALE_ENTRY_MILLIS;
  }

  private void register(FleetEndpoint entry, List<FleetChange> changes) {
    FleetEndpoint former = endpoints.get(entry.id());
    boolean outdated =
        former != null
            && (entry.startedAtMillis() < former.startedAtMillis()
                || entry.revision().isBefore(former.revision()));
    if (outdated) {
      return;
    }
    endpoints.put(entry.id(), entry);
    boolean sameIncarnation = former != null && former.incarnation().equals(entry.incarnation());
    if (!sameIncarnation) {
      if (former != null) {
        recordGone(former, changes);
      }
      goneIncarnations.remove(entry.incarnation());
      changes.add(new FleetChange(FleetChange.Kind.JOINED, entry));
    }
    if (entry.state() == EndpointState.DRAINING && markDraining(entry.incarnation())) {
      changes.add(new FleetChange(FleetChange.Kind.DRAINING, entry));
    }
  }

  private void removeMissing(Set<String> listedIds, List<FleetChange> changes) {
    for (FleetEndpoint registered : List.copyOf(endpoints.values())) {
      if (!listedIds.contains(registered.id())) {
        endpoints.remove(registered.id());
        recordGone(registered, changes);
      }
    }
  }

  private void recordGone(FleetEndpoint endpoint, List<FleetChange> changes) {
    changes.add(new FleetChange(FleetChange.Kind.GONE, endpoint));
    remember(goneIncarnations, endpoint.incarnation());
  }

  private static boolean remember(Set<String> incarnations, String incarnation) {
    boolean added = incarnations.add(incarnation);
    if (incarnations.size() > MAXIMUM_REMEMBERED_INCARNATIONS) {
      incarnations.remove(incarnations.iterator().next());
    }
    return added;
  }

  /**
   * Records that an endpoint is draining, by its own statement or by that of another host. The
   * incarnation need not be registered yet.
   *
   * @param incarnation the incarnation that is draining
   * @return whether this was not known before
   */
  public boolean markDraining(String incarnation) {
    return remember(drainingIncarnations, incarnation);
  }

  /**
   * Returns whether an incarnation is known to be draining.
   *
   * @param incarnation the incarnation
   * @return whether it never receives new requests again
   */
  public boolean isDraining(String incarnation) {
    return drainingIncarnations.contains(incarnation);
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
        && !isDraining(endpoint.incarnation());
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
   * Looks up an incarnation.
   *
   * @param incarnation the name of the incarnation
   * @return the endpoint as last registered, or empty if this incarnation is not registered
   */
  public Optional<FleetEndpoint> findIncarnation(String incarnation) {
    int separator = incarnation.lastIndexOf('/');
    return find(separator < 0 ? incarnation : incarnation.substring(0, separator))
        .filter(endpoint -> endpoint.incarnation().equals(incarnation));
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
   * Returns whether the store has been read without an outage since a time, so that it lists no
   * endpoint that ended well before.
   *
   * @param sinceMillis the time, in milliseconds
   * @param nowMillis the current time, in milliseconds
   * @return whether there were listings all the time
   */
  public boolean isListedSince(long sinceMillis, long nowMillis) {
    return storeRecoveredAtMillis <= sinceMillis
        && listedAtMillis.isPresent()
        && nowMillis - listedAtMillis.get() <= MAXIMUM_LISTING_GAP_MILLIS;
  }

  @Override
  public long listedAtMillis() {
    return listedAtMillis.orElse(-1L);
  }

  /**
   * Returns the only software version that the endpoints of a service have had since a time.
   *
   * @param service the service
   * @param sinceMillis the time, in milliseconds; at most ten minutes ago
   * @param nowMillis the current time, in milliseconds
   * @return the version, or empty if there was more than one or the store was not read all the time
   */
  @Override
  public Optional<String> onlyVersionSince(String service, long sinceMillis, long nowMillis) {
    return isListedSince(sinceMillis, nowMillis)
        ? versions.onlyVersionSince(service, sinceMillis)
        : Optional.empty();
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
