package org.lentilhinge.host;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lentilhinge.admission.AdmissionQueue;
import org.lentilhinge.admission.AdmissionSettings;
import org.lentilhinge.configuration.Adapter;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.configuration.Zone;
import org.lentilhinge.grant.GrantCache;
import org.lentilhinge.grant.GrantSettings;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.lease.FencingSequence;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.lease.ZoneOwnership;
import org.lentilhinge.membership.Membership;
import org.lentilhinge.placement.LeastPopularEviction;
import org.lentilhinge.placement.LoadRanking;
import org.lentilhinge.placement.PlacementScheduler;
import org.lentilhinge.placement.PlacementSettings;
import org.lentilhinge.placement.WaitTimeRanking;
import org.lentilhinge.routing.AffinityRouting;
import org.lentilhinge.routing.FleetView;
import org.lentilhinge.routing.LinkCosts;
import org.lentilhinge.store.StoreBudgetShare;

/** Holds the components of an entry host that require a configuration. */
final class HostRoles {

  private final HostIncarnation self;
  private final ZoneId zone;
  private final HostParameters parameters;
  private final Membership membership;
  private final ZoneOwnership ownership;
  private final EventTime time;
  private final KnownHosts knownHosts;
  private final FleetView fleet;
  private final AdmissionQueue admission;
  private final StoreBudgetShare store;
  private final OwnedEngines owned = new OwnedEngines();
  private final RunningRequests running;
  private final GatewayRole gateway;
  private final OwnerRole owner;
  private final EngineOrders orders;
  private final GrantRequestHandler grantRequests;
  private Configuration configuration;
  private Set<EndpointId> leaving = Set.of();

  HostRoles(
      HostIncarnation self,
      ZoneId zone,
      HostParameters parameters,
      Membership membership,
      ZoneOwnership ownership,
      EventTime time,
      Configuration configuration,
      RandomGenerator random) {
    this.self = self;
    this.zone = zone;
    this.parameters = parameters;
    this.membership = membership;
    this.ownership = ownership;
    this.time = time;
    this.configuration = configuration;
    long nowMillis = time.nowMillis();
    long maximumRequestMillis = configuration.policy().maximumRequestMillis();
    GrantSettings grantSettings = GrantSettings.defaults(maximumRequestMillis);
    GrantCache grants = new GrantCache(self, grantSettings, nowMillis);
    LoadRanking loadRanking = new WaitTimeRanking();
    FencingSequence fencing = new FencingSequence(self.host());
    GrantReplies replies = new GrantReplies(self);
    knownHosts = new KnownHosts(membership, zone, time);
    fleet = new FleetView(zone, configuration);
    admission = new AdmissionQueue(admissionSettings(configuration), nowMillis);
    store =
        new StoreBudgetShare(
            self.host(), zone, zoneHosts(), configuration.storeBudget(), nowMillis);
    PlacementScheduler scheduler = new PlacementScheduler(store, loadRanking);
    running = new RunningRequests(grants, fleet, maximumRequestMillis);
    orders =
        new EngineOrders(
            fencing, scheduler, owned, replies, parameters.lease().maximumOrderTransitMillis());
    GrantRecaller recaller = new GrantRecaller(self.host());
    grantRequests =
        new GrantRequestHandler(self, ownership, scheduler, owned, orders, replies, recaller);
    gateway =
        new GatewayRole(
            grants,
            fleet,
            admission,
            new AffinityRouting(configuration, linkCosts(configuration)),
            this::likelyOwner,
            running);
    PlacementFactory placements =
        new PlacementFactory(
            placementSettings(configuration),
            new LeastPopularEviction(parameters.placement().minimumResidencyMillis()),
            loadRanking,
            grantSettings,
            ownership,
            time,
            random);
    owner =
        new OwnerRole(
            self,
            ownership,
            fencing,
            scheduler,
            placements,
            owned,
            orders,
            knownHosts,
            endpoint -> membership.leavingEndpoints().contains(endpoint));
    configure(configuration);
  }

  void configure(Configuration newConfiguration) {
    configuration = newConfiguration;
    knownHosts.configure(newConfiguration.zones());
    fleet.reconfigure(newConfiguration);
    markLeaving(membership.leavingEndpoints());
    admission.reconfigure(admissionSettings(newConfiguration));
    gateway.setRouting(new AffinityRouting(newConfiguration, linkCosts(newConfiguration)));
    owner.declareEngines(newConfiguration.enginesOf(zone));
    store.onBudget(newConfiguration.storeBudget(), time.nowMillis());
  }

  /**
   * Marks the endpoints that are known to be leaving and unmarks those that are no longer leaving.
   */
  void refreshLeaving() {
    Set<EndpointId> current = membership.leavingEndpoints();
    if (!current.equals(leaving)) {
      markLeaving(current);
    }
  }

  private void markLeaving(Set<EndpointId> current) {
    leaving.forEach(endpoint -> fleet.markLeaving(endpoint, false));
    current.forEach(endpoint -> fleet.markLeaving(endpoint, true));
    leaving = current;
  }

  Configuration configuration() {
    return configuration;
  }

  GatewayRole gateway() {
    return gateway;
  }

  OwnerRole owner() {
    return owner;
  }

  EngineOrders orders() {
    return orders;
  }

  GrantRequestHandler grantRequests() {
    return grantRequests;
  }

  FleetView fleet() {
    return fleet;
  }

  StoreBudgetShare store() {
    return store;
  }

  OwnedEngines owned() {
    return owned;
  }

  RunningRequests running() {
    return running;
  }

  private List<HostId> zoneHosts() {
    return List.copyOf(membership.listed(zone));
  }

  private Optional<HostId> likelyOwner(EndpointId endpoint) {
    Optional<ZoneId> engineZone = configuration.engine(endpoint).map(Engine::zone);
    if (engineZone.isPresent() && engineZone.get().equals(zone)) {
      return ownership.candidate(endpoint);
    }
    return engineZone.flatMap(
        otherZone ->
            RendezvousHash.first(endpoint.value(), membership.live(otherZone, time.nowMillis())));
  }

  private LinkCosts linkCosts(Configuration from) {
    LinkCosts defaults = parameters.linkCosts();
    return new LinkCosts(
        from.storeBudget().region(),
        defaults.bytesPerSecond(),
        defaults.requestBytes(),
        defaults.residencySeconds());
  }

  /**
   * Returns the placement settings. If the weight store is in another region, a version is
   * prefetched only from the request rate at which its load costs less than sending its requests
   * across the link between regions.
   */
  private PlacementSettings placementSettings(Configuration from) {
    PlacementSettings settings = PlacementSettings.forPolicy(from.policy());
    Optional<RegionId> localRegion = Optional.ofNullable(from.zones().get(zone)).map(Zone::region);
    Optional<RegionId> storeRegion = from.storeBudget().region();
    if (storeRegion.isEmpty() || storeRegion.equals(localRegion) || from.adapters().isEmpty()) {
      return settings;
    }
    long averageBytes =
        (long) from.adapters().values().stream().mapToLong(Adapter::sizeBytes).average().orElse(0);
    double minimumRequestsPerSecond =
        linkCosts(from).breakEvenRequestsPerSecond(averageBytes, from.policy());
    return settings.withPrefetchMinimumPerSecond(minimumRequestsPerSecond);
  }

  private AdmissionSettings admissionSettings(Configuration from) {
    return new AdmissionSettings(
        parameters.maximumQueued(), from.policy().maximumQueueMillis(), from.callers());
  }
}
