package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.util.function.LongSupplier;

/**
 * The objects that the parts of one host share. All parts run on one event loop.
 *
 * @param vertx provides the timers and sockets
 * @param settings the host's settings
 * @param clock the monotonic clock, in milliseconds
 * @param log receives a line for each decision
 * @param metrics receives the measurements
 */
record HostContext(
    Vertx vertx,
    ForwardSettings settings,
    LongSupplier clock,
    EventLog log,
    MetricRegistry metrics) {

  long now() {
    return clock.getAsLong();
  }

  String host() {
    return settings.host();
  }
}
