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

/** What one host believes: configuration, endpoints, engines and other hosts. */
final class HostState {

  /** The part of the lease for which a revision is fresh; the rest covers slow answers. */
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

  /** Tells whether this host has read the configuration and the endpoints since its start. */
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

  /** Takes a configuration unless it is older than the one in force. */
  boolean configure(ForwardConfiguration next) {
    if (configuration.isPresent() && next.version() <= configuration.get().version()) {
      return false;
    }
    configuration = Optional.of(next);
    routes = new RouteTable(next.routes());
    return true;
  }

  /** Takes an announced version; returns whether it is newer than the one known. */
  boolean release(AdapterRelease release) {
    String name = release.model() + '/' + release.adapter();
    Long former = versions.get(name);
    if (former != null && former >= release.version()) {
      return false;
    }
    versions.put(name, release.version());
    return true;
  }

  /** Gets the announced version of an adapter; 0 if none was announced. */
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
   * Gets the newest revision of the store if this host read it a moment ago, else 0. A revision
   * read within the lease is not older than that of any holder whose last order lies the lease
   * back.
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

  /** Ranks the hosts that may hold an engine. */
  List<String> ranking(FleetEndpoint engine) {
    return HolderRanking.rank(
        engine.id(), engine.zone(), distances.regionOf(engine.zone()), hosts.candidates(leaving));
  }

  /**
   * Finds the host that decides for an engine: the one that says so, or the first in rank whose
   * link is up. A host whose link broke keeps its rank until it is silent for longer.
   */
  String desk(FleetEndpoint engine) {
    Optional<String> noted = board.host(engine.life(), context.now());
    return noted.orElseGet(
        () -> ranking(engine).stream().filter(hosts::isLinked).findFirst().orElse(context.host()));
  }
}
