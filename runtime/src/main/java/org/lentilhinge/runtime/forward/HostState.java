package org.lentilhinge.runtime.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.fleet.EndpointRegistry;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.EndpointScores;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.forward.RetryShare;
import org.lentilhinge.forward.RouteTable;
import org.lentilhinge.forward.ZoneDistances;
import org.lentilhinge.permit.EngineBoard;
import org.lentilhinge.permit.HolderRanking;
import org.lentilhinge.permit.HostDirectory;

/** The current view of one host: configuration, endpoints, engines and other hosts. */
final class HostState {

  /** The fraction of the lease during which a revision is fresh; the rest covers slow answers. */
  private static final double FRESH_PART = 0.5;

  private final HostContext context;
  private final EndpointRegistry endpoints = new EndpointRegistry();
  private final EndpointScores scores = new EndpointScores();
  private final EngineBoard board = new EngineBoard();
  private final HostDirectory hosts;
  private final ZoneDistances distances;
  private final Map<String, RetryShare> retries = new HashMap<>();
  private final Map<String, Long> versions = new HashMap<>();
  private Optional<ForwardConfiguration> configuration = Optional.empty();
  private RouteTable routes = new RouteTable(List.of());
  private long revision;
  private long revisionMillis;
  private boolean leaving;

  HostState(HostContext context) {
    this.context = context;
    ForwardSettings settings = context.settings();
    HolderRanking.Candidate self =
        new HolderRanking.Candidate(settings.host(), settings.zone(), settings.region());
    hosts = new HostDirectory(self, settings.seeds().stream().map(HostNames::ofAddress).toList());
    distances = new ZoneDistances(settings.zone(), settings.region(), settings.zoneRegions());
  }

  EndpointRegistry endpoints() {
    return endpoints;
  }

  EndpointScores scores() {
    return scores;
  }

  EngineBoard board() {
    return board;
  }

  HostDirectory hosts() {
    return hosts;
  }

  ZoneDistances distances() {
    return distances;
  }

  Optional<ForwardConfiguration> configuration() {
    return configuration;
  }

  /** Indicates whether this host has read the configuration and the endpoints since its start. */
  boolean isInformed() {
    return configuration.isPresent() && endpoints.ageMillis(context.now()).isPresent();
  }

  RouteTable routes() {
    return routes;
  }

  ForwardLimits limits() {
    return configuration.map(ForwardConfiguration::limits).orElse(ForwardLimits.DEFAULT);
  }

  Optional<ForwardService> service(String name) {
    return configuration.map(current -> current.services().get(name));
  }

  /** Applies a configuration if its version is higher than that of the current one. */
  boolean configure(ForwardConfiguration next) {
    if (configuration.isPresent() && next.version() <= configuration.get().version()) {
      return false;
    }
    configuration = Optional.of(next);
    routes = new RouteTable(next.routes());
    return true;
  }

  /** Records an announced adapter version; returns whether it is newer than the known version. */
  boolean release(AdapterRelease release) {
    String name = release.model() + '/' + release.adapter();
    Long known = versions.get(name);
    if (known != null && known >= release.version()) {
      return false;
    }
    versions.put(name, release.version());
    return true;
  }

  /** Returns the announced version of an adapter, or 0 if none was announced. */
  long version(String model, String adapter) {
    return versions.getOrDefault(model + '/' + adapter, 0L);
  }

  RetryShare retries(String service) {
    ForwardSettings.Bounds bounds = context.settings().bounds();
    return retries.computeIfAbsent(
        service,
        unused ->
            new RetryShare(
                bounds.retryRatio(),
                bounds.retryExtra(),
                bounds.retryWindowMillis(),
                context.now()));
  }

  void revision(long read) {
    if (read >= revision) {
      revision = read;
      revisionMillis = context.now();
    }
  }

  /**
   * Returns the newest revision of the store if this host has read it recently, else 0. A revision
   * that was read within the length of the lease is not older than the revision of any owner whose
   * last order is at least one lease ago.
   */
  long freshRevision() {
    long leaseMillis = context.settings().bounds().leaseMillis();
    return context.now() - revisionMillis <= leaseMillis * FRESH_PART ? revision : 0;
  }

  boolean isLeaving() {
    return leaving;
  }

  void leave() {
    leaving = true;
  }

  /** Returns the hosts that may own an engine, the preferred one first. */
  List<String> ranking(FleetEndpoint engine) {
    return HolderRanking.rank(
        engine.id(), engine.zone(), distances.regionOf(engine.zone()), hosts.candidates(leaving));
  }

  /**
   * Returns the host that runs the scheduler of an engine: the host that announced itself, or the
   * highest-ranked host whose link is up. A host whose link has failed keeps its rank until the
   * heartbeat timeout.
   */
  String desk(FleetEndpoint engine) {
    Optional<String> announced = board.host(engine.life(), context.now());
    return announced.orElseGet(
        () -> ranking(engine).stream().filter(hosts::isLinked).findFirst().orElse(context.host()));
  }
}
