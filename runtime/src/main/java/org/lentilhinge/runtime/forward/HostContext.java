package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.util.function.LongSupplier;

/**
 * What the parts of one host share. All of them run on one event loop.
 *
 * @param vertx the timers and sockets
 * @param settings the host's settings
 * @param clock the monotonic clock, in milliseconds
 * @param log takes a line for each decision
 * @param metrics takes the measurements
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
