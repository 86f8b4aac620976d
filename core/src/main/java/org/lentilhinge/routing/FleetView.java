package org.lentilhinge.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.configuration.Zone;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.placement.EngineAnnouncement;
import org.lentilhinge.placement.PopularityEstimator;

/**
 * Holds a gateway's view of all engines, and the request rates that the gateway itself observes.
 *
 * <p>The host passes each owner's announcement to {@link #applyAnnouncement}. It calls {@link
 * #recordArrival} once for each request that it accepts, and {@link #recordDispatch} and {@link
 * #recordCompletion} for each request that it sends to an engine.
 */
public final class FleetView {

  private static final long POPULARITY_DECAY_MILLIS = 120_000;
  private static final int POPULARITY_CAPACITY = 4_000;

  private final ZoneId localZone;
  private final Map<EndpointId, EngineView> engines = new TreeMap<>();
  private final Map<AdapterVersion, List<EngineView>> holders = new HashMap<>();
  private final PopularityEstimator popularity =
      new PopularityEstimator(POPULARITY_DECAY_MILLIS, POPULARITY_CAPACITY);
  private Map<ZoneId, Zone> zones = Map.of();

  /**
   * Creates the view of a gateway.
   *
   * @param localZone the gateway's availability zone
   * @param configuration the applied configuration
   */
  public FleetView(ZoneId localZone, Configuration configuration) {
    this.localZone = localZone;
    reconfigure(configuration);
  }

  /**
   * Replaces the configuration. The state of engines whose declaration has not changed is kept.
   *
   * @param configuration the applied configuration
   */
  public void reconfigure(Configuration configuration) {
    zones = configuration.zones();
    Map<EndpointId, EngineView> kept = new HashMap<>(engines);
    engines.clear();
    for (Engine engine : configuration.engines().values()) {
      EngineView previous = kept.get(engine.id());
      boolean unchanged = previous != null && previous.engine().equals(engine);
      engines.put(
          engine.id(), unchanged ? previous : new EngineView(engine, regionOf(engine.zone())));
    }
    holders.clear();
    engines.values().forEach(view -> addHolder(view, residentAndLoading(view)));
  }

  /**
   * Returns the gateway's availability zone.
   *
   * @return the zone
   */
  public ZoneId localZone() {
    return localZone;
  }

  /**
   * Returns the gateway's region.
   *
   * @return the region
   */
  public RegionId localRegion() {
    return regionOf(localZone);
  }

  /**
   * Returns the declared engines.
   *
   * @return an unmodifiable view of the engines, ordered by name
   */
  public Collection<EngineView> engines() {
    return Collections.unmodifiableCollection(engines.values());
  }

  /**
   * Looks up an engine.
   *
   * @param endpoint the engine
   * @return the view of the engine, or empty if the configuration does not declare it
   */
  public Optional<EngineView> engine(EndpointId endpoint) {
    return Optional.ofNullable(engines.get(endpoint));
  }

  /**
   * Returns the engines on which a version is resident or being loaded.
   *
   * @param version the version
   * @return the engines
   */
  public List<EngineView> holders(AdapterVersion version) {
    return holders.getOrDefault(version, List.of());
  }

  /**
   * Returns the estimator of the request rates that the gateway observes.
   *
   * @return the estimator
   */
  public PopularityEstimator popularity() {
    return popularity;
  }

  /**
   * Returns the number of free batch slots of all usable engines.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the number of slots
   */
  public int freeBatchSlots(long nowMillis) {
    return engines.values().stream()
        .filter(view -> view.isUsable(nowMillis))
        .mapToInt(view -> Math.max(0, view.freeBatchSlots()))
        .sum();
  }

  /**
   * Applies an owner's announcement.
   *
   * @param announcement the announcement; it is ignored if it is stale
   * @param nowMillis the monotonic time, in milliseconds
   * @return whether an announcement was missed, so that the gateway should request a complete one
   *     from the owner
   */
  public boolean applyAnnouncement(EngineAnnouncement announcement, long nowMillis) {
    EngineView view = engines.get(announcement.endpoint());
    if (view == null || view.isStale(announcement)) {
      return false;
    }
    if (!view.changesContent(announcement)) {
      return view.applyAnnouncement(announcement, nowMillis);
    }
    Set<AdapterVersion> before = residentAndLoading(view);
    boolean missed = view.applyAnnouncement(announcement, nowMillis);
    Set<AdapterVersion> after = residentAndLoading(view);
    before.stream()
        .filter(version -> !after.contains(version))
        .forEach(removed -> removeHolder(removed, view));
    after.removeAll(before);
    addHolder(view, after);
    return missed;
  }

  /**
   * Records that the gateway has accepted a request.
   *
   * @param version the adapter version that the request runs on
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void recordArrival(AdapterVersion version, long nowMillis) {
    popularity.observe(version, 1, nowMillis);
  }

  /**
   * Records that the gateway has dispatched a request to an engine.
   *
   * @param endpoint the engine
   * @param promptPrefix a fingerprint of the first tokens of the prompt, if known
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void recordDispatch(EndpointId endpoint, OptionalLong promptPrefix, long nowMillis) {
    EngineView view = engines.get(endpoint);
    if (view != null) {
      view.recordRequestCountChange(1, nowMillis);
      promptPrefix.ifPresent(view::recordPrefix);
    }
  }

  /**
   * Records that a request of the gateway no longer runs on an engine.
   *
   * @param endpoint the engine
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void recordCompletion(EndpointId endpoint, long nowMillis) {
    engine(endpoint).ifPresent(view -> view.recordRequestCountChange(-1, nowMillis));
  }

  /**
   * Marks an engine as leaving or not, as reported by the platform's list or by another host.
   *
   * @param endpoint the engine
   * @param leaving whether the engine accepts no new requests
   */
  public void markLeaving(EndpointId endpoint, boolean leaving) {
    engine(endpoint).ifPresent(view -> view.setListedLeaving(leaving));
  }

  /**
   * Marks an engine as suspect until a given time, because a connection to it failed or timed out.
   *
   * @param endpoint the engine
   * @param untilMillis the monotonic time from which the engine may be used again, in milliseconds
   */
  public void markSuspect(EndpointId endpoint, long untilMillis) {
    engine(endpoint).ifPresent(view -> view.setSuspectUntil(untilMillis));
  }

  private RegionId regionOf(ZoneId zone) {
    Zone declared = zones.get(zone);
    return declared == null ? new RegionId(zone.value()) : declared.region();
  }

  private void addHolder(EngineView view, Set<AdapterVersion> versions) {
    for (AdapterVersion version : versions) {
      holders.computeIfAbsent(version, unused -> new ArrayList<>(2)).add(view);
    }
  }

  private void removeHolder(AdapterVersion version, EngineView view) {
    List<EngineView> views = holders.get(version);
    views.remove(view);
    if (views.isEmpty()) {
      holders.remove(version);
    }
  }

  private static Set<AdapterVersion> residentAndLoading(EngineView view) {
    Set<AdapterVersion> versions = new HashSet<>(view.resident());
    versions.addAll(view.loading());
    return versions;
  }
}
