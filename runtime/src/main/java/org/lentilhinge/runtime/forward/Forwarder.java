package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.customer.CallerIdentity;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.RequestDuration;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.resume.StreamOriginExchange;

/** Finds the route of each caller's request, and starts a {@link ForwardedRequest} for it. */
final class Forwarder {

  /** The retry delay for callers of a host without a configuration, in milliseconds. */
  private static final long CONFIGURATION_RETRY_MILLIS = 300;

  /** The prefix of the counters of responses to other requests, one for each endpoint. */
  static final String FOREIGN_RESPONSES = "forward.foreign.responses";

  /** The prefix of the counters of responses that exceeded a bound, one for each endpoint. */
  static final String OVERSIZED_RESPONSES = "forward.oversized.responses";

  /** The reason of a request that a stopping host does not serve to its end. */
  static final String STOPPING = "stopping";

  /** The retry delay for callers of a stopping host, in milliseconds; other hosts take over. */
  static final long STOPPING_RETRY_MILLIS = 50;

  /** The retry delay for a host whose relayed request is refused, in milliseconds. */
  private static final long RELAY_RETRY_MILLIS = 300;

  private final HostContext context;
  private final HostState state;
  private final Parts parts;
  private final StartupRequestBuffer startupBuffer;
  private final Map<ForwardedRequest, Optional<CustomerQuotas.Charge>> running =
      new LinkedHashMap<>();

  /**
   * The parts of the host that forwarding uses.
   *
   * @param headerTranslator translates headers
   * @param pool keeps the connections to endpoints and other hosts
   * @param paths opens connections to endpoints
   * @param relay selects hosts that serve requests for this one
   * @param permits requests permits
   * @param quarantine refuses requests that crash endpoints
   * @param limits learns the request limits of endpoints
   * @param departures learns which endpoints leave
   * @param streamOrigins finds the software versions of streams
   * @param memory bounds the bytes that are held
   */
  record Parts(
      HeaderTranslator headerTranslator,
      EndpointPool pool,
      PathRunner paths,
      HostRelay relay,
      PermitClient permits,
      QuarantineRunner quarantine,
      EndpointLimitRunner limits,
      EndpointDepartureRunner departures,
      StreamOriginExchange streamOrigins,
      HostMemory memory) {}

  Forwarder(HostContext context, HostState state, Parts parts) {
    this.context = context;
    this.state = state;
    this.parts = parts;
    this.startupBuffer = new StartupRequestBuffer(context.now());
  }

  HostContext context() {
    return context;
  }

  HostState state() {
    return state;
  }

  HeaderTranslator headerTranslator() {
    return parts.headerTranslator();
  }

  EndpointPool pool() {
    return parts.pool();
  }

  PathRunner paths() {
    return parts.paths();
  }

  HostRelay relay() {
    return parts.relay();
  }

  PermitClient permits() {
    return parts.permits();
  }

  QuarantineRunner quarantine() {
    return parts.quarantine();
  }

  EndpointLimitRunner limits() {
    return parts.limits();
  }

  EndpointDepartureRunner departures() {
    return parts.departures();
  }

  StreamOriginExchange streamOrigins() {
    return parts.streamOrigins();
  }

  ResponseMemory responseMemory() {
    return parts.memory().responses();
  }

  HostMemory memory() {
    return parts.memory();
  }

  void count(String name) {
    context.metrics().counter(MetricRegistry.name("forward", name)).inc();
  }

  /** Counts the responses that an endpoint has sent in addition to the one to a request. */
  void countForeignResponses(String endpoint, ConnectionUse use) {
    int dropped = use.foreignResponses() + use.unnamedResponses();
    if (dropped > 0) {
      context.metrics().counter(MetricRegistry.name(FOREIGN_RESPONSES, endpoint)).inc(dropped);
    }
  }

  /** Records that a response of an endpoint was given up because it exceeded a bound. */
  void recordOversizedResponse(String endpoint, String reason) {
    context.log().line("response-oversized", "endpoint", endpoint, "why", reason);
    context.metrics().counter(MetricRegistry.name(OVERSIZED_RESPONSES, endpoint)).inc();
  }

  /**
   * Accepts a complete request. A request that arrives before the first read of the store is
   * buffered until that read.
   */
  void accept(CallerExchange exchange) {
    count("requests");
    parts.relay().verify(exchange.request().headers());
    long now = context.now();
    if (state.isInitialized() || !startupBuffer.offer(() -> forward(exchange, now), now)) {
      forward(exchange, now);
    }
  }

  /** Forwards the buffered requests, after the first read of the store or the maximum wait. */
  void releaseBufferedRequests() {
    startupBuffer.release();
  }

  private void forward(CallerExchange exchange, long arrivedAtMillis) {
    HttpRequest request = exchange.request();
    RequestMetadata metadata = parts.headerTranslator().requestMetadata(request.headers());
    Optional<ForwardConfiguration> configuration = state.configuration();
    if (configuration.isEmpty()) {
      reject(exchange, metadata, 503, Optional.of(CONFIGURATION_RETRY_MILLIS), "no-configuration");
      return;
    }
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    Optional<ForwardRoute> route = state.routes().find(host, request.uri());
    if (route.isEmpty() && exchange.isRelayed()) {
      refuseRelayed(exchange, metadata);
      return;
    }
    if (route.isEmpty()) {
      reject(exchange, metadata, 404, Optional.empty(), "no-route");
      return;
    }
    Optional<CallerIdentity> identity = state.customers().identify(route.get(), metadata.apiKeys());
    if (identity.isEmpty() && exchange.isRelayed()) {
      refuseRelayed(exchange, metadata);
      return;
    }
    if (identity.isEmpty()) {
      reject(exchange, metadata, 401, Optional.empty(), "unknown-key");
      return;
    }
    if (!exchange.isRelayed() && endsAfterStop(route.get(), metadata)) {
      reject(exchange, metadata, 503, Optional.of(STOPPING_RETRY_MILLIS), STOPPING);
      return;
    }
    // The host that received the request from the caller has charged it.
    Optional<Optional<CustomerQuotas.Charge>> charge =
        exchange.isRelayed()
            ? Optional.of(Optional.empty())
            : state.quotas().charge(exchange, metadata, identity.get());
    if (charge.isEmpty()) {
      return;
    }
    String service =
        route.get().selectService(RendezvousHash.hash(metadata.requestId().orElse("")));
    if (!exchange.isRelayed()) {
      state.retryBudgetShare(service).recordRequest();
    } else if (!parts.relay().accept(request.headers().get(HostRelay.HEADER))) {
      refuseRelayed(exchange, metadata);
      return;
    }
    ForwardedRequest forwarded =
        new ForwardedRequest(
            this, exchange, metadata, route.get(), service, identity.get(), arrivedAtMillis);
    running.put(forwarded, charge.get());
    forwarded.start();
  }

  /** Indicates whether a planned stop is expected to end before a request that arrives now. */
  private boolean endsAfterStop(ForwardRoute route, RequestMetadata metadata) {
    OptionalLong stopsAtMillis = state.stopsAtMillis();
    int outputTokens =
        metadata.generation().map(RequestMetadata.Generation::outputTokens).orElse(0);
    return stopsAtMillis.isPresent()
        && context.now() + RequestDuration.expectedMillis(route, outputTokens)
            > stopsAtMillis.getAsLong();
  }

  private void refuseRelayed(CallerExchange exchange, RequestMetadata metadata) {
    context
        .log()
        .line("refuse", "id", metadata.requestId().orElse("-"), "status", 503, "why", "relayed");
    count("refused.relayed");
    exchange.refuseForNow(RELAY_RETRY_MILLIS, "relayed");
  }

  /** Records the end of a request, which is refunded if it has certainly not run. */
  void onRequestFinished(ForwardedRequest request, boolean relayed, boolean certainlyNotRun) {
    Optional<CustomerQuotas.Charge> charge = running.remove(request);
    if (certainlyNotRun) {
      charge.ifPresent(state.quotas()::refund);
    }
    if (relayed) {
      parts.relay().release();
    }
  }

  /** Handles that this host has lost its paths to the endpoints. */
  void onPathLost() {
    List.copyOf(running.keySet()).forEach(ForwardedRequest::onPathLost);
  }

  /** Refuses the requests that were not sent to an endpoint, as this host stops soon. */
  void refuseUnsent() {
    for (ForwardedRequest request : List.copyOf(running.keySet())) {
      if (request.isUnsent()) {
        request.end(STOPPING);
      }
    }
  }

  /** Ends all requests with a response that states truly whether they may have run. */
  void endAll() {
    List.copyOf(running.keySet()).forEach(request -> request.end(STOPPING));
  }

  private void reject(
      CallerExchange exchange,
      RequestMetadata metadata,
      int status,
      Optional<Long> retryAfterMillis,
      String reason) {
    context
        .log()
        .line(
            "refuse",
            "id",
            metadata.requestId().orElse("-"),
            "status",
            status,
            "why",
            reason,
            "target",
            exchange.request().uri(),
            "configuration",
            state.configuration().map(ForwardConfiguration::version).orElse(DeclaredVersion.NONE));
    count("refused." + reason);
    exchange.respond(status, retryAfterMillis, reason);
  }
}
