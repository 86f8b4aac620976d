package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.runtime.memory.BodyMemory;
import org.lentilhinge.runtime.memory.EndpointBodies;
import org.lentilhinge.runtime.memory.MemoryBounds;
import org.lentilhinge.runtime.memory.SlowCallers;

/** The bounds of the bytes that a host holds for others, with their log lines and metrics. */
final class HostMemory {

  /** The reason of a request that was refused because request bodies take too much memory. */
  static final String REQUEST_BODIES = "request-bodies";

  /** The reason of a request whose body no endpoint has room for. */
  static final String ENDPOINT_BODIES = "endpoint-bodies";

  /** The prefix of the names of the metrics. */
  static final String METRICS = "forward.memory";

  private static final String RESPONSES = "responses";

  /** The minimum time between two log lines of the same bound, in milliseconds. */
  private static final long LOG_INTERVAL_MILLIS = 1_000;

  private final HostContext context;
  private final HeaderTranslator headerTranslator;
  private final ResponseMemory responses;
  private final BodyMemory requestBodies;
  private final EndpointBodies endpointBodies;
  private final SlowCallers slowCallers;
  private final Map<String, Long> loggedAtMillis = new HashMap<>();

  HostMemory(HostContext context, HeaderTranslator headerTranslator, MemoryBounds bounds) {
    this.context = context;
    this.headerTranslator = headerTranslator;
    responses =
        new ResponseMemory(
            bounds.responses(), (bytes, id) -> record(RESPONSES, bytes, bounds.responses(), id));
    requestBodies = new BodyMemory(bounds.requestBodies());
    endpointBodies = new EndpointBodies(bounds.endpointBodies());
    slowCallers = new SlowCallers(bounds.slowCallers(), bounds.slowCaller());
    MetricRegistry metrics = context.metrics();
    metrics.registerGauge(
        MetricRegistry.name(METRICS, REQUEST_BODIES), () -> requestBodies.heldBytes());
    metrics.registerGauge(MetricRegistry.name(METRICS, RESPONSES), () -> responses.heldBytes());
    metrics.registerGauge(
        MetricRegistry.name(METRICS, "slow-callers"), () -> slowCallers.heldBytes());
  }

  ResponseMemory responses() {
    return responses;
  }

  BodyMemory requestBodies() {
    return requestBodies;
  }

  SlowCallers slowCallers() {
    return slowCallers;
  }

  /** Returns the body of a request, which is sent to one endpoint at a time. */
  EndpointBodies.Body openBody(CallerExchange exchange) {
    return endpointBodies.open(
        exchange.body().readableBytes(),
        bytes ->
            record(
                ENDPOINT_BODIES,
                bytes,
                endpointBodies.maximumBytes(),
                requestId(exchange.request())));
  }

  /** Records that a request was refused because request bodies take too much memory. */
  void recordRefusedBody(HttpRequest request) {
    String id = requestId(request);
    context.log().line("refuse", "id", id, "status", 503, "why", REQUEST_BODIES);
    context.metrics().counter(MetricRegistry.name("forward", "refused", REQUEST_BODIES)).inc();
    record(REQUEST_BODIES, requestBodies.heldBytes(), requestBodies.maximumBytes(), id);
  }

  /** Records that the connection of a caller was closed because it read nothing. */
  void recordStalledCaller() {
    context.metrics().counter(MetricRegistry.name(METRICS, "stalled-callers")).inc();
  }

  /** Returns the id of a request for the log. */
  String requestId(HttpRequest request) {
    List<String> ids = headerTranslator.requestIds(request.headers());
    return ids.size() == 1 ? ids.get(0) : "-";
  }

  private void record(String kind, long bytes, long bound, String id) {
    context.metrics().counter(MetricRegistry.name(METRICS, "bound", kind)).inc();
    Long former = loggedAtMillis.get(kind);
    long now = context.now();
    if (former == null || now - former >= LOG_INTERVAL_MILLIS) {
      loggedAtMillis.put(kind, now);
      context.log().line("memory-bound", "kind", kind, "bytes", bytes, "bound", bound, "id", id);
    }
  }
}
