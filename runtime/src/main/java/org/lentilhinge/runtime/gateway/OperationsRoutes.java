package org.lentilhinge.runtime.gateway;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.lentilhinge.runtime.metric.MetricExposition;

/**
 * Serves the operators' paths {@code /health/live}, {@code /health/ready}, {@code /metrics} and
 * {@code /status}. They require no API key, so that they can be served on a separate port.
 */
public final class OperationsRoutes implements Routes {

  private static final int STATUS_UNAVAILABLE = 503;

  private final HostStatus status;
  private final MetricExposition exposition;

  /**
   * Creates the routes.
   *
   * @param status reports the readiness and status of the host
   * @param metrics the metrics to expose
   */
  public OperationsRoutes(HostStatus status, MetricRegistry metrics) {
    this.status = status;
    this.exposition = new MetricExposition(metrics);
  }

  @Override
  public void mount(Router router) {
    router.get("/health/live").handler(context -> health(context, "live", true));
    router.get("/health/ready").handler(context -> health(context, "ready", status.isReady()));
    router.get("/metrics").handler(this::metrics);
    router.get("/status").handler(context -> context.json(status.report()));
  }

  private static void health(RoutingContext context, String name, boolean healthy) {
    if (!healthy) {
      context.response().setStatusCode(STATUS_UNAVAILABLE);
    }
    context.json(new JsonObject().put(name, healthy));
  }

  private void metrics(RoutingContext context) {
    context
        .response()
        .putHeader("Content-Type", MetricExposition.CONTENT_TYPE)
        .end(exposition.render());
  }
}
