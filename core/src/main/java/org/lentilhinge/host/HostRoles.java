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

/** Holds the parts of an entry host that need a configuration to exist. */
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
    LoadRanking loadOrder = new WaitTimeRanking();
    FencingSequence fencing = new FencingSequence(self.host());
    GrantReplies replies = new GrantReplies(self);
    knownHosts = new KnownHosts(membership, zone, time);
    fleet = new FleetView(zone, configuration);
    admission = new AdmissionQueue(admissionSettings(configuration), nowMillis);
    store =
        new StoreBudgetShare(
            self.host(), zone, zoneHosts(), configuration.storeBudget(), nowMillis);
    PlacementScheduler scheduler = new PlacementScheduler(store, loadOrder);
    running = new RunningRequests(grants, fleet, maximumRequestMillis);
    orders =
        new EngineOrders(
            fencing, scheduler, owned, replies, parameters.lease().orderFlightMillis());
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
            loadOrder,
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

  void configure(Configuration changed) {
    configuration = changed;
    knownHosts.configure(changed.zones());
    fleet.reconfigure(changed);
    markLeaving(membership.leavingEndpoints());
    admission.reconfigure(admissionSettings(changed));
    gateway.reroute(new AffinityRouting(changed, linkCosts(changed)));
    owner.declare(changed.enginesOf(zone));
    store.onBudget(changed.storeBudget(), time.nowMillis());
  }

  /** Lets go of endpoints that are no longer known to be leaving. */
  void refreshLeaving() {
    Set<EndpointId> now = membership.leavingEndpoints();
    if (!now.equals(leaving)) {
      markLeaving(now);
    }
  }

  private void markLeaving(Set<EndpointId> now) {
    leaving.forEach(endpoint -> fleet.markLeaving(endpoint, false));
    now.forEach(endpoint -> fleet.markLeaving(endpoint, true));
    leaving = now;
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
    Optional<ZoneId> where = configuration.engine(endpoint).map(Engine::zone);
    if (where.isPresent() && where.get().equals(zone)) {
      return ownership.candidate(endpoint);
    }
    return where.flatMap(
        other -> RendezvousHash.first(endpoint.value(), membership.live(other, time.nowMillis())));
  }

  private LinkCosts linkCosts(Configuration from) {
    LinkCosts usual = parameters.linkCosts();
    return new LinkCosts(
        from.storeBudget().region(),
        usual.bytesPerSecond(),
        usual.requestBytes(),
        usual.residencySeconds());
  }

  /** Loads ahead of need across the link only what is worth its bytes. */
  private PlacementSettings placementSettings(Configuration from) {
    PlacementSettings settings = PlacementSettings.forPolicy(from.policy());
    Optional<RegionId> here = Optional.ofNullable(from.zones().get(zone)).map(Zone::region);
    Optional<RegionId> store = from.storeBudget().region();
    if (store.isEmpty() || store.equals(here) || from.adapters().isEmpty()) {
      return settings;
    }
    long bytes =
        (long) from.adapters().values().stream().mapToLong(Adapter::sizeBytes).average().orElse(0);
    double least = linkCosts(from).breakEvenRequestsPerSecond(bytes, from.policy());
    return settings.withPrefetchMinimumPerSecond(least);
  }

  private AdmissionSettings admissionSettings(Configuration from) {
    return new AdmissionSettings(
        parameters.maximumQueued(), from.policy().maximumQueueMillis(), from.callers());
  }
}
