package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.limit.EndpointLimit;
import org.lentilhinge.limit.EndpointLimitNews;
import org.lentilhinge.limit.EndpointLimits;
import org.lentilhinge.limit.RequestLimit;
import org.lentilhinge.limit.RequestRate;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRequest;

/**
 * Exchanges the request limits that endpoints state, and issues the permits for plain endpoints
 * that state one. The permits for engines are issued by their schedulers.
 */
final class EndpointLimitRunner {

  private final HostContext context;
  private final HostState state;
  private final HostBroadcast broadcast;
  private final PeerSender peers;

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
    RequestRate rate = state.limits().rate(request.incarnation(), context.now());
    boolean granted = rate.tryTake(context.now());
    long waitMillis = granted ? 0 : rate.waitMillis(0, context.now());
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

  /** Adjusts the share of the limits to the hosts that this host hears. */
  void tick() {
    int liveHosts = state.hosts().liveHosts().size() + 1;
    state.limits().setHosts(liveHosts, state.hosts().sharingHostCount(), context.now());
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
            limit.isUnlimited() ? "none" : limit.perSecond(),
            "from",
            source);
  }
}
