package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.path.PathAnswer;
import org.lentilhinge.path.PathMonitor;
import org.lentilhinge.path.PathNews;
import org.lentilhinge.path.PathQuery;

/**
 * Opens the connections to endpoints, and finds out by them, by probes and by the answers of other
 * hosts whether this host has lost its paths to all endpoints.
 */
final class PathRunner {

  /** The time within which a probe must have succeeded, in milliseconds. */
  private static final long PROBE_TIMEOUT_MILLIS = 500;

  /**
   * The time for which the connection of a probe must stay open, in milliseconds. A path may be cut
   * off by resetting connections as soon as they are established.
   */
  private static final long PROBE_HOLD_MILLIS = 100;

  /** The interval between announcements that this host is cut off, in milliseconds. */
  private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 1_000;

  /** The number of endpoints about which other hosts are asked. */
  private static final int MAXIMUM_QUERIED_ENDPOINTS = 8;

  private final HostContext context;
  private final HostState state;
  private final EndpointPool pool;
  private final PathMonitor monitor;
  private final PeerSender peers;
  private final HostBroadcast broadcast;
  private final HostRelay relay;
  private final Consumer<Boolean> changeListener;
  private long announcedAtMillis;
  private boolean suspected;

  /**
   * Creates a runner.
   *
   * @param changeListener receives whether this host is cut off, at each change
   */
  PathRunner(
      HostContext context,
      HostState state,
      EndpointPool pool,
      PathMonitor monitor,
      PeerSender peers,
      HostBroadcast broadcast,
      HostRelay relay,
      Consumer<Boolean> changeListener) {
    this.context = context;
    this.state = state;
    this.pool = pool;
    this.monitor = monitor;
    this.peers = peers;
    this.broadcast = broadcast;
    this.relay = relay;
    this.changeListener = changeListener;
  }

  /** Indicates whether this host has lost its paths to the endpoints. */
  boolean isCutOff() {
    return monitor.state() == PathMonitor.State.CUT_OFF;
  }

  /**
   * Returns a connection to an endpoint. While the paths are in doubt, a request that must not be
   * repeated gets a new connection: a kept one may hang, and the request on it would be unknown.
   *
   * @param requestId the id by which the response will be recognized; a request without one gets a
   *     connection of its own
   * @param repeatable whether the request may be sent more than once
   */
  Future<EndpointConnection> connect(
      FleetEndpoint endpoint, Optional<String> requestId, boolean repeatable) {
    String address = endpoint.address();
    if (requestId.isEmpty()) {
      return observe(endpoint, pool.openForSingleUse(address));
    }
    boolean reuse = repeatable || monitor.state() == PathMonitor.State.OPEN;
    Optional<EndpointConnection> idle =
        reuse ? pool.takeIdle(address, requestId) : Optional.empty();
    return idle.map(Future::succeededFuture).orElseGet(() -> observe(endpoint, pool.open(address)));
  }

  /** Records that a connection is being opened, and whether it could be. */
  private Future<EndpointConnection> observe(
      FleetEndpoint endpoint, Future<EndpointConnection> connecting) {
    long startedAtMillis = context.now();
    monitor.recordConnecting(endpoint.incarnation(), startedAtMillis);
    return connecting.onComplete(
        result -> {
          monitor.recordConnect(endpoint.incarnation(), result.succeeded(), context.now());
          state.zoneTraffic().recordConnect(endpoint, startedAtMillis, result.succeeded());
        });
  }

  void recordRequest(FleetEndpoint endpoint) {
    monitor.recordRequest(endpoint.incarnation(), context.now());
  }

  void recordResponse(FleetEndpoint endpoint) {
    monitor.recordResponse(endpoint.incarnation(), context.now());
    state.zoneTraffic().recordResponse(endpoint);
  }

  /** Records that an endpoint has sent a part of a response. */
  void recordProgress() {
    monitor.recordProgress(context.now());
  }

  /** Records the end of a request, and whether its connection ended before any response. */
  void recordRequestEnd(FleetEndpoint endpoint, boolean broken) {
    monitor.recordRequestEnd(endpoint.incarnation(), broken, context.now());
  }

  /** Starts the probes and announcements that are due. Must be called several times per second. */
  void tick() {
    long now = context.now();
    Collection<FleetEndpoint> endpoints =
        state.endpoints().all().stream().filter(state.endpoints()::isUsable).toList();
    List<FleetEndpoint> probes = monitor.onTick(endpoints, now);
    logSuspicion();
    if (!probes.isEmpty()) {
      queryHosts(now);
      probes.forEach(this::probe);
    }
    if (isCutOff()) {
      state.cutOffHosts().record(context.host(), true, now);
      if (now - announcedAtMillis >= ANNOUNCEMENT_INTERVAL_MILLIS) {
        announce();
      }
    }
    for (String host : state.cutOffHosts().removeExpired(now)) {
      context.log().line("host-path", "host", host, "cutOff", false, "why", "not-announced");
    }
  }

  private void logSuspicion() {
    boolean nowSuspected = monitor.state() == PathMonitor.State.SUSPECTED;
    if (nowSuspected && !suspected) {
      context.log().line("path-suspected", "unreached", unreached());
    }
    suspected = nowSuspected;
  }

  private String unreached() {
    return String.join(",", monitor.unreached(context.now()));
  }

  private void queryHosts(long now) {
    List<String> unreached =
        monitor.unreached(now).stream().limit(MAXIMUM_QUERIED_ENDPOINTS).toList();
    relay.candidates().forEach(host -> peers.send(host, new PathQuery(unreached)));
  }

  private void probe(FleetEndpoint endpoint) {
    Promise<Boolean> result = Promise.promise();
    long timer = context.vertx().setTimer(PROBE_TIMEOUT_MILLIS, id -> result.tryComplete(false));
    pool.open(endpoint.address())
        .onSuccess(connection -> hold(endpoint, connection, result))
        .onFailure(failure -> result.tryComplete(false));
    result
        .future()
        .onSuccess(
            reached -> {
              context.vertx().cancelTimer(timer);
              if (monitor.recordProbe(endpoint.incarnation(), reached)) {
                applyChange();
              }
            });
  }

  private void hold(
      FleetEndpoint endpoint, EndpointConnection connection, Promise<Boolean> result) {
    context
        .vertx()
        .setTimer(
            PROBE_HOLD_MILLIS,
            id -> {
              boolean open = connection.isOpen();
              if (open) {
                pool.release(endpoint.address(), connection);
              }
              result.tryComplete(open);
            });
  }

  private void applyChange() {
    boolean cutOff = isCutOff();
    state.cutOffHosts().record(context.host(), cutOff, context.now());
    context.metrics().counter(MetricRegistry.name("forward", "path", "changes")).inc();
    context
        .log()
        .line(
            cutOff ? "path-lost" : "path-restored",
            "unreached",
            unreached(),
            "helpers",
            relay.helperCount());
    if (cutOff) {
      // Kept connections may hang, and must not be used after the cut either.
      state.endpoints().all().forEach(endpoint -> pool.removeAddress(endpoint.address()));
    }
    announce();
    changeListener.accept(cutOff);
  }

  private void announce() {
    announcedAtMillis = context.now();
    broadcast.send(new PathNews(context.host(), false, isCutOff()));
  }

  /** Answers another host that does not reach some endpoints. */
  void receive(String host, PathQuery query) {
    int reached = monitor.countReached(query.incarnations(), context.now());
    peers.send(host, new PathAnswer(context.settings().callerAddress(), isCutOff(), reached));
  }

  /** Handles the answer of another host, which may help this one. */
  void receive(String host, PathAnswer answer) {
    relay.receive(host, answer);
    if (!answer.cutOff() && answer.reached() > 0 && monitor.recordReachedElsewhere()) {
      applyChange();
    }
  }

  /** Handles that another host has lost its paths or has them again. */
  void receive(PathNews news) {
    broadcast.receive(news);
    if (state.cutOffHosts().record(news.host(), news.cutOff(), context.now())) {
      context.log().line("host-path", "host", news.host(), "cutOff", news.cutOff());
      if (news.cutOff()) {
        relay.remove(news.host());
        state.engineSelector().removeHost(news.host());
      }
    }
  }
}
