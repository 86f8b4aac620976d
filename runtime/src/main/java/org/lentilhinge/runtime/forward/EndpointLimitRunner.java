package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.limit.EndpointLimit;
import org.lentilhinge.limit.EndpointLimitNews;
import org.lentilhinge.limit.EndpointLimits;
import org.lentilhinge.limit.EndpointRoom;
import org.lentilhinge.limit.RequestLimit;
import org.lentilhinge.limit.RequestRate;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.PermitReturn;

/**
 * Exchanges the request limits that endpoints state, and issues the permits for plain endpoints
 * that state one. The permits for engines are issued by their schedulers.
 */
final class EndpointLimitRunner {

  /** The time after which a request that found no room may be sent again, in milliseconds. */
  private static final long NO_ROOM_RETRY_MILLIS = 20;

  /** The assumed number of slots of an endpoint that registers none. */
  private static final int DEFAULT_SLOTS = 4;

  private final HostContext context;
  private final HostState state;
  private final HostBroadcast broadcast;
  private final PeerSender peers;
  private final Map<String, EndpointRoom> rooms = new HashMap<>();

  EndpointLimitRunner(
      HostContext context, HostState state, HostBroadcast broadcast, PeerSender peers) {
    this.context = context;
    this.state = state;
    this.broadcast = broadcast;
    this.peers = peers;
  }

  /** Records the limit that a response to this host states. */
  void recordResponse(FleetEndpoint endpoint, RequestLimit stated, long sentAtMillis) {
    String incarnation = endpoint.incarnation();
    EndpointLimits.Update update =
        state.limits().recordResponse(incarnation, stated, sentAtMillis, context.now());
    if (update.changed()) {
      logChange(incarnation, stated, context.host());
    }
    if (update.announced()) {
      broadcast.send(
          new EndpointLimitNews(
              context.host(), false, List.of(new EndpointLimit(incarnation, stated))));
    }
  }

  /** Handles the limits that another host announces. */
  void receive(EndpointLimitNews news) {
    broadcast.receive(news);
    for (EndpointLimit announced : news.limits()) {
      // The limit of an endpoint that is not registered yet is announced again.
      boolean registered = state.endpoints().findIncarnation(announced.incarnation()).isPresent();
      if (registered && state.limits().receive(announced, context.now())) {
        logChange(announced.incarnation(), announced.limit(), news.host());
      }
    }
  }

  /** Records the limit that the sender of a permit request knows, if this host knows none. */
  void learn(String host, PermitRequest request) {
    request
        .requestLimit()
        .filter(limit -> state.limits().learn(request.incarnation(), limit, context.now()))
        .ifPresent(limit -> logChange(request.incarnation(), limit, host));
  }

  /** Answers a request for a permit to send a request to a plain endpoint. */
  void submit(String host, PermitRequest request) {
    long now = context.now();
    RequestRate rate = state.limits().rate(request.incarnation(), now);
    boolean granted = hasRoom(host, request) && rate.tryTake(now);
    if (!granted) {
      room(request.incarnation()).release(host, request.permitId(), false, now);
    }
    long waitMillis = granted ? 0 : Math.max(NO_ROOM_RETRY_MILLIS, rate.waitMillis(0, now));
    context
        .log()
        .line(
            granted ? "permit" : "permit-refused",
            "endpoint",
            request.incarnation(),
            "host",
            host,
            "ask",
            request.permitId(),
            "why",
            PermitAnswer.ENDPOINT_LIMIT,
            "retryMs",
            waitMillis);
    peers.send(
        host,
        new PermitAnswer(request.permitId(), granted, waitMillis, PermitAnswer.ENDPOINT_LIMIT));
  }

  private boolean hasRoom(String host, PermitRequest request) {
    boolean brittle =
        state.limits().find(request.incarnation()).filter(RequestLimit::isBrittle).isPresent();
    return !brittle
        || room(request.incarnation())
            .tryTake(host, request.permitId(), request.remainingMillis(), context.now());
  }

  private EndpointRoom room(String incarnation) {
    return rooms.computeIfAbsent(
        incarnation,
        unused ->
            new EndpointRoom(
                state
                    .endpoints()
                    .findIncarnation(incarnation)
                    .map(FleetEndpoint::slots)
                    .filter(slots -> slots > 0)
                    .orElse(DEFAULT_SLOTS)));
  }

  /** Handles the end of a request that had a permit. */
  void release(String host, PermitReturn returned) {
    boolean refused = returned.outcome() == PermitReturn.Outcome.REFUSED;
    rooms.forEach(
        (incarnation, room) -> {
          if (room.release(host, returned.permitId(), refused, context.now()) && refused) {
            state.limits().rate(incarnation, context.now()).recordRefusal(context.now());
          }
        });
  }

  /** Records the end of the requests of a host that failed. */
  void removeHost(String host) {
    rooms.values().forEach(room -> room.removeHost(host));
  }

  /** Adjusts the share of the limits to the hosts that this host hears. */
  void tick() {
    int liveHosts = state.hosts().liveHosts().size() + 1;
    state.limits().setHosts(liveHosts, state.hosts().sharingHostCount(), context.now());
    rooms.keySet().removeIf(incarnation -> state.limits().find(incarnation).isEmpty());
  }

  private void logChange(String incarnation, RequestLimit limit, String source) {
    context.metrics().counter(MetricRegistry.name("forward", "limit", "changes")).inc();
    context
        .log()
        .line(
            "limit",
            "endpoint",
            incarnation,
            "perSecond",
            limit.hasRate() ? limit.perSecond() : "none",
            "refusalsPerSecond",
            limit.isBrittle() ? limit.refusalsPerSecond() : "none",
            "from",
            source);
  }
}
