package org.lentilhinge.runtime.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.customer.CustomerDirectory;
import org.lentilhinge.customer.DeclaredCustomers;
import org.lentilhinge.dispatch.EndpointPauses;
import org.lentilhinge.dispatch.SendCondition;
import org.lentilhinge.dispatch.SendObstacle;
import org.lentilhinge.fleet.EndpointRegistry;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.EndpointScores;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.forward.RetryBudgetShare;
import org.lentilhinge.forward.RouteTable;
import org.lentilhinge.forward.ZoneDistances;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.limit.EndpointLimits;
import org.lentilhinge.overlay.HostOverlay;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.overlay.KnownHost;
import org.lentilhinge.path.CutOffHosts;
import org.lentilhinge.permit.EngineSelector;
import org.lentilhinge.permit.OwnerRanking;
import org.lentilhinge.permit.OwnershipClaims;
import org.lentilhinge.permit.OwnershipObjection;
import org.lentilhinge.published.AdapterRelease;

/** One host's current view of the configuration, the endpoints, the engines and other hosts. */
final class HostState {

  /**
   * The fraction of the lease during which a revision is fresh. It is shorter than the time between
   * the last takeover by a host that is cut off and the first one by another host.
   */
  private static final double FRESH_LEASE_FRACTION = 2.0 / 3;

  /** The gap between two ticks that shows that this host handles messages late, in milliseconds. */
  private static final long LATE_TICK_GAP_MILLIS = 300;

  /** The time after a late tick for which older messages may still wait, in milliseconds. */
  private static final long LATENESS_MILLIS = 3_000;

  private final HostContext context;
  private final EndpointRegistry endpoints = new EndpointRegistry();
  private final EndpointScores scores = new EndpointScores();
  private final EngineSelector engineSelector = new EngineSelector();
  private final EndpointLimits limits = new EndpointLimits();
  private final CutOffHosts cutOffHosts = new CutOffHosts();
  private final EndpointPauses pauses;
  private final List<SendCondition> sendConditions;
  private final HostOverlay hosts;
  private final ZoneDistances distances;
  private final CustomerQuotas quotas;
  private final ZoneTraffic zoneTraffic;
  private final Map<String, RetryBudgetShare> retryBudgetShares = new HashMap<>();
  private final Map<String, Long> adapterVersions = new HashMap<>();
  private Optional<ForwardConfiguration> configuration = Optional.empty();
  private RouteTable routes = new RouteTable(List.of());
  private CustomerDirectory customers = new CustomerDirectory(DeclaredCustomers.NONE);
  private StoreRevision storeRevision = StoreRevision.NONE;
  private OptionalLong revisionRequestedAtMillis = OptionalLong.empty();
  private Runnable revisionReader = () -> {};
  private OptionalLong lateAtMillis = OptionalLong.empty();
  private OptionalLong stopsAtMillis = OptionalLong.empty();
  private final Map<String, List<String>> ownerRankings = new HashMap<>();
  private long rankedGeneration = -1;

  HostState(HostContext context, HostOverlay hosts) {
    this.context = context;
    this.hosts = hosts;
    quotas = new CustomerQuotas(context, hosts);
    pauses = new EndpointPauses(context.host());
    sendConditions = List.of(this::checkPath, this::checkRegistered, pauses);
    ForwardSettings settings = context.settings();
    distances = new ZoneDistances(settings.zone(), settings.region(), settings.zoneRegions());
    zoneTraffic = new ZoneTraffic(context, endpoints, engineSelector, hosts, distances);
  }

  EndpointRegistry endpoints() {
    return endpoints;
  }

  EndpointScores scores() {
    return scores;
  }

  EngineSelector engineSelector() {
    return engineSelector;
  }

  EndpointLimits limits() {
    return limits;
  }

  /** Returns the hosts without a path to the endpoints, of which this host may be one. */
  CutOffHosts cutOffHosts() {
    return cutOffHosts;
  }

  private Optional<SendObstacle> checkPath(FleetEndpoint endpoint, long nowMillis) {
    return cutOffHosts.contains(context.host())
        ? Optional.of(SendObstacle.NO_PATH)
        : Optional.empty();
  }

  EndpointPauses pauses() {
    return pauses;
  }

  /** Returns the conditions of this host that must hold whenever a request is sent. */
  List<SendCondition> sendConditions() {
    return sendConditions;
  }

  private Optional<SendObstacle> checkRegistered(FleetEndpoint endpoint, long nowMillis) {
    return endpoints.isUsable(endpoint) ? Optional.empty() : Optional.of(SendObstacle.LEFT);
  }

  HostOverlay hosts() {
    return hosts;
  }

  ZoneDistances distances() {
    return distances;
  }

  ZoneTraffic zoneTraffic() {
    return zoneTraffic;
  }

  Optional<ForwardConfiguration> configuration() {
    return configuration;
  }

  /** Indicates whether this host has read the configuration and the endpoints since its start. */
  boolean isInitialized() {
    return configuration.isPresent() && endpoints.ageMillis(context.now()).isPresent();
  }

  RouteTable routes() {
    return routes;
  }

  CustomerDirectory customers() {
    return customers;
  }

  CustomerQuotas quotas() {
    return quotas;
  }

  /** Returns the recent use of a customer in proportion to its share; the mean is 1. */
  double relativeUse(String customer) {
    return quotas.accounts().relativeUse(customer, context.now());
  }

  ForwardLimits forwardLimits() {
    return configuration.map(ForwardConfiguration::limits).orElse(ForwardLimits.DEFAULT);
  }

  Optional<ForwardService> service(String name) {
    return configuration.map(current -> current.services().get(name));
  }

  /** Applies a configuration if its version is higher than that of the current one. */
  boolean applyConfiguration(ForwardConfiguration next) {
    if (configuration.isPresent() && !configuration.get().version().isBefore(next.version())) {
      return false;
    }
    configuration = Optional.of(next);
    routes = new RouteTable(next.routes());
    customers = new CustomerDirectory(next.customers());
    quotas.apply(next.customers());
    return true;
  }

  /** Records an announced adapter version; returns whether it is newer than the known version. */
  boolean recordRelease(AdapterRelease release) {
    String name = release.model() + '/' + release.adapter();
    Long known = adapterVersions.get(name);
    if (known != null && known >= release.version()) {
      return false;
    }
    adapterVersions.put(name, release.version());
    return true;
  }

  /** Returns the announced version of an adapter, or 0 if none was announced. */
  long adapterVersion(String model, String adapter) {
    return adapterVersions.getOrDefault(model + '/' + adapter, 0L);
  }

  RetryBudgetShare retryBudgetShare(String service) {
    ForwardSettings.Bounds bounds = context.settings().bounds();
    return retryBudgetShares.computeIfAbsent(
        service,
        unused ->
            new RetryBudgetShare(
                bounds.retryRatio(),
                bounds.retryExtra(),
                bounds.retryWindowMillis(),
                context.now()));
  }

  /**
   * Records a revision that this host read itself.
   *
   * @param revision the revision
   * @param requestedAtMillis the time of the request; the response may have waited in a socket
   */
  void recordRevision(StoreRevision revision, long requestedAtMillis) {
    if (!revision.isBefore(storeRevision)) {
      storeRevision = revision;
      revisionRequestedAtMillis =
          OptionalLong.of(
              Math.max(revisionRequestedAtMillis.orElse(requestedAtMillis), requestedAtMillis));
    }
  }

  /** Records the time between two ticks of this host. */
  void recordTickGap(long gapMillis) {
    if (gapMillis > LATE_TICK_GAP_MILLIS) {
      lateAtMillis = OptionalLong.of(context.now());
    }
  }

  /** Indicates whether messages of other hosts may have waited in this process after some time. */
  boolean wasLateSince(long sinceMillis) {
    return lateAtMillis.isPresent()
        && lateAtMillis.getAsLong() > sinceMillis
        && context.now() - lateAtMillis.getAsLong() < LATENESS_MILLIS;
  }

  void setRevisionReader(Runnable reader) {
    revisionReader = reader;
  }

  /** Has this host read the store itself, unless its last own read is still fresh. */
  void requestFreshRevision() {
    if (freshRevision() == 0) {
      revisionReader.run();
    }
  }

  /**
   * Returns the number of the newest state of the store if this host has read it recently, or else
   * 0. A state that was read within the length of the lease is not older than that of any owner
   * whose last order is at least one lease ago.
   */
  long freshRevision() {
    long leaseMillis = context.settings().bounds().leaseMillis();
    return revisionAgeMillis() <= leaseMillis * FRESH_LEASE_FRACTION
        ? Math.max(0, storeRevision.toNumber())
        : 0;
  }

  /** Returns the age of the latest own read of the store, in milliseconds; the maximum if none. */
  long revisionAgeMillis() {
    return revisionRequestedAtMillis.isPresent()
        ? context.now() - revisionRequestedAtMillis.getAsLong()
        : Long.MAX_VALUE;
  }

  /**
   * Returns the time for which this host has not been in contact with the majority of the hosts, in
   * milliseconds; 0 if it is.
   */
  long millisWithoutMajority() {
    return hosts.majority().millisWithout(context.now());
  }

  boolean isLeaving() {
    return stopsAtMillis.isPresent();
  }

  /** Returns when the responses to callers end in a planned stop; empty if none has begun. */
  OptionalLong stopsAtMillis() {
    return stopsAtMillis;
  }

  /** Begins a planned stop in which responses to callers end at a time, in milliseconds. */
  void setStopsAt(long endMillis) {
    stopsAtMillis = OptionalLong.of(endMillis);
  }

  /**
   * Returns the other live hosts whose word a host needs that is about to own an engine. One that
   * is leaving knows when it sent its last order.
   */
  List<String> ownershipHosts() {
    return hosts.liveHosts().stream()
        .filter(HostRecord::answersOwnershipQueries)
        .map(HostRecord::host)
        .toList();
  }

  /** Returns the digest of the hosts that may own engines, which include this host. */
  long candidatesDigest() {
    return hosts.candidates().stream()
        .mapToLong(host -> RendezvousHash.hash(host.host()))
        .reduce(0, (first, second) -> first ^ second);
  }

  /** Returns the hosts that may own engines, which include this host. */
  List<KnownHost> knownHosts() {
    return hosts.candidates().stream()
        .map(host -> new KnownHost(host.host(), host.version()))
        .toList();
  }

  /** Indicates whether this host knows all that another host knows as live, or that they ended. */
  boolean knowsHosts(List<KnownHost> others) {
    long lostBeforeMillis = context.now() - OwnershipClaims.LOST_HOST_MILLIS;
    return others.stream().allMatch(host -> hosts.majority().isKnown(host, lostBeforeMillis));
  }

  /**
   * Returns why a host may not own an engine, as far as this host has heard of third hosts.
   *
   * @param incarnation the incarnation of the engine
   * @param host the host, which may be this one
   * @param fencingToken the token of that host if it owns the engine, or 0 if it is about to take
   *     the engine over
   */
  Optional<OwnershipObjection> ownershipObjection(
      String incarnation, String host, long fencingToken) {
    long now = context.now();
    OwnershipClaims claims = engineSelector.claims();
    if (fencingToken > 0) {
      return claims.highestToken(incarnation) > fencingToken
          ? Optional.of(
              new OwnershipObjection("higher-token", "", OwnershipRules.CLAIM_MARGIN_MILLIS))
          : Optional.empty();
    }
    return claims.objection(
        incarnation,
        host,
        context.host(),
        OwnershipRules.claimMillis(context.settings().bounds().leaseMillis()),
        hosts.majority().lostAtMillis(now - OwnershipClaims.LOST_HOST_MILLIS),
        now);
  }

  /** Returns the hosts that may own an engine, the preferred one first. */
  List<String> ownerRanking(FleetEndpoint engine) {
    // Both numbers only increase, so that their sum changes with each of them.
    long generation = hosts.generation() + cutOffHosts.generation();
    if (generation != rankedGeneration) {
      rankedGeneration = generation;
      ownerRankings.clear();
    }
    return ownerRankings.computeIfAbsent(engine.incarnation(), unused -> rankOwners(engine));
  }

  private List<String> rankOwners(FleetEndpoint engine) {
    List<OwnerRanking.Candidate> candidates =
        hosts.candidates().stream()
            .filter(host -> !cutOffHosts.contains(host.host()))
            .map(host -> new OwnerRanking.Candidate(host.host(), host.zone(), host.region()))
            .toList();
    String region = distances.regionOf(engine.zone());
    return OwnerRanking.rank(engine.id(), engine.zone(), region, candidates);
  }

  /**
   * Returns the host that runs the scheduler of an engine: the host that announced that it runs the
   * scheduler, or else the highest-ranked host. A host that does not respond is passed over, but
   * keeps its rank until it is lost.
   */
  String schedulerHost(FleetEndpoint engine) {
    return engineSelector
        .schedulingHost(engine.incarnation(), context.now())
        .filter(host -> hosts.isConnected(host) && !cutOffHosts.contains(host))
        .orElseGet(
            () ->
                ownerRanking(engine).stream()
                    .filter(hosts::isConnected)
                    .findFirst()
                    .orElse(context.host()));
  }
}
