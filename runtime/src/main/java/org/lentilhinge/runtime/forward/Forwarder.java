package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.lease.RendezvousHash;

/** Finds the route of each caller's request, and starts a {@link ForwardedRequest} for it. */
final class Forwarder {

  /** The retry delay for callers of a host without a configuration, in milliseconds. */
  private static final long CONFIGURATION_RETRY_MILLIS = 300;

  private final HostContext context;
  private final HostState state;
  private final ForwardDialect dialect;
  private final EndpointPool pool;
  private final PermitClient permits;
  private final EarlyRequests early;

  Forwarder(
      HostContext context,
      HostState state,
      ForwardDialect headerTranslator,
      EndpointPool pool,
      PermitClient permits) {
    this.context = context;
    this.state = state;
    this.dialect = headerTranslator;
    this.pool = pool;
    this.permits = permits;
    this.early = new EarlyRequests(context.now());
  }

  HostContext context() {
    return context;
  }

  HostState state() {
    return state;
  }

  ForwardDialect dialect() {
    return dialect;
  }

  EndpointPool pool() {
    return pool;
  }

  PermitClient permits() {
    return permits;
  }

  void count(String name) {
    context.metrics().counter(MetricRegistry.name("forward", name)).inc();
  }

  /**
   * Accepts a complete request. A request that arrives before the first read of the store is
   * buffered until that read.
   */
  void take(CallerExchange exchange) {
    count("requests");
    long now = context.now();
    if (state.isInformed() || !early.keep(() -> forward(exchange, now), now)) {
      forward(exchange, now);
    }
  }

  /** Forwards the buffered requests, after the first read of the store or the maximum wait. */
  void releaseEarly() {
    early.release();
  }

  private void forward(CallerExchange exchange, long arrivedAtMillis) {
    HttpRequest request = exchange.request();
    CallerHead metadata = dialect.callerHead(request.headers());
    Optional<ForwardConfiguration> configuration = state.configuration();
    if (configuration.isEmpty()) {
      refuse(exchange, metadata, 503, Optional.of(CONFIGURATION_RETRY_MILLIS), "no-configuration");
      return;
    }
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    Optional<ForwardRoute> route = state.routes().find(host, request.uri());
    if (route.isEmpty()) {
      refuse(exchange, metadata, 404, Optional.empty(), "no-route");
      return;
    }
    String service = route.get().service(RendezvousHash.hash(metadata.requestId().orElse("")));
    state.retries(service).requested();
    new ForwardedRequest(this, exchange, metadata, route.get(), service, arrivedAtMillis).start();
  }

  private void refuse(
      CallerExchange exchange,
      CallerHead metadata,
      int status,
      Optional<Long> retryMillis,
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
            state.configuration().map(ForwardConfiguration::version).orElse(0L));
    count("refused." + reason);
    exchange.answer(status, retryMillis, reason);
  }
}
