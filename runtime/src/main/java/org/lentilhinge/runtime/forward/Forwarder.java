package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.lease.RendezvousHash;

/** Takes callers' requests, finds their routes, and starts a {@link ForwardedRequest} for each. */
final class Forwarder {

  /** When a host that does not know its configuration yet may know it, in milliseconds. */
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
      ForwardDialect dialect,
      EndpointPool pool,
      PermitClient permits) {
    this.context = context;
    this.state = state;
    this.dialect = dialect;
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

  /** Takes a whole request; one that comes before the first reading of the store waits for it. */
  void take(CallerExchange exchange) {
    count("requests");
    long now = context.now();
    if (state.isInformed() || !early.keep(() -> forward(exchange, now), now)) {
      forward(exchange, now);
    }
  }

  /** Goes on with the requests that waited for the first reading, or have waited long enough. */
  void releaseEarly() {
    early.release();
  }

  private void forward(CallerExchange exchange, long arrivedMillis) {
    HttpRequest request = exchange.request();
    CallerHead head = dialect.callerHead(request.headers());
    Optional<ForwardConfiguration> configuration = state.configuration();
    if (configuration.isEmpty()) {
      refuse(exchange, head, 503, Optional.of(CONFIGURATION_RETRY_MILLIS), "no-configuration");
      return;
    }
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    Optional<ForwardRoute> route = state.routes().find(host, request.uri());
    if (route.isEmpty()) {
      refuse(exchange, head, 404, Optional.empty(), "no-route");
      return;
    }
    String service = route.get().service(RendezvousHash.hash(head.requestId().orElse("")));
    state.retries(service).requested();
    new ForwardedRequest(this, exchange, head, route.get(), service, arrivedMillis).start();
  }

  private void refuse(
      CallerExchange exchange, CallerHead head, int status, Optional<Long> retry, String reason) {
    context
        .log()
        .line(
            "refuse",
            "id",
            head.requestId().orElse("-"),
            "status",
            status,
            "why",
            reason,
            "target",
            exchange.request().uri(),
            "configuration",
            state.configuration().map(ForwardConfiguration::version).orElse(0L));
    count("refused." + reason);
    exchange.answer(status, retry, reason);
  }
}
