package org.lentilhinge.runtime.host;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.lentilhinge.runtime.decision.DecisionLog;

/**
 * The resources of a process that its entry hosts share.
 *
 * @param vertx the Vert.x instance for connections and the contexts of the hosts
 * @param scheduler the scheduler of all timers
 * @param metrics the metric registry
 * @param decisions the decision log
 * @param monotonicMillis the monotonic clock, in milliseconds
 * @param wallMillis the wall clock, in milliseconds since 1970
 * @param random the source of jitter for retries and ticks
 */
public record HostEnvironment(
    Vertx vertx,
    Scheduler scheduler,
    MetricRegistry metrics,
    DecisionLog decisions,
    LongSupplier monotonicMillis,
    LongSupplier wallMillis,
    Random random) {

  /**
   * Creates an environment with the system clocks and timers.
   *
   * @param vertx the Vert.x instance
   * @param metrics the metric registry
   * @param decisions the decision log
   * @return the environment
   */
  public static HostEnvironment withSystemClocks(
      Vertx vertx, MetricRegistry metrics, DecisionLog decisions) {
    return new HostEnvironment(
        vertx,
        Schedulers.computation(),
        metrics,
        decisions,
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
        System::currentTimeMillis,
        new Random());
  }
}
