package org.lentilhinge.runtime.forward;

import io.vertx.core.Vertx;

/**
 * Ends the requests of callers in a planned stop. Each request that was read completely gets a
 * response, and the process ends only when all responses have been passed to the operating system
 * or the time allowed for the stop has elapsed.
 */
final class PlannedStop {

  /**
   * The time after which the load balancer sends no new requests to a host that is not ready, in
   * milliseconds. The balancer needs two readiness checks, which are a second apart.
   */
  private static final long BALANCER_DRAIN_MILLIS = 2_600;

  /** The time reserved for the process exit at the end of a planned stop, in milliseconds. */
  private static final long EXIT_RESERVE_MILLIS = 300;

  /** The time reserved for sending the responses before, in milliseconds. */
  private static final long SEND_RESERVE_MILLIS = 400;

  /**
   * The time before the end of all responses from which on requests that were not sent to an
   * endpoint are refused, in milliseconds.
   */
  private static final long REFUSAL_LEAD_MILLIS = 1_000;

  private final HostContext context;
  private final CallerServer callerServer;
  private final Forwarder forwarder;
  private final long checkIntervalMillis;
  private final Runnable completion;
  private final long exitAtMillis;
  private boolean ended;

  /**
   * Creates a stop that begins now.
   *
   * @param checkIntervalMillis the interval between checks whether requests are in flight
   * @param completion runs at each check from the end of the stop on
   */
  PlannedStop(
      HostContext context,
      CallerServer callerServer,
      Forwarder forwarder,
      long checkIntervalMillis,
      Runnable completion) {
    this.context = context;
    this.callerServer = callerServer;
    this.forwarder = forwarder;
    this.checkIntervalMillis = checkIntervalMillis;
    this.completion = completion;
    exitAtMillis = context.now() + context.settings().bounds().stopMillis() - EXIT_RESERVE_MILLIS;
  }

  /** Returns the time at which the last responses end, in milliseconds. */
  long endAtMillis() {
    return exitAtMillis - SEND_RESERVE_MILLIS;
  }

  /** Closes idle connections once the balancer sends no new requests, and then waits. */
  void start() {
    Vertx vertx = context.vertx();
    vertx.setTimer(
        BALANCER_DRAIN_MILLIS,
        timer -> {
          callerServer.closeIdle(exitAtMillis - context.now());
          vertx.setPeriodic(checkIntervalMillis, id -> check());
        });
  }

  private void check() {
    long now = context.now();
    if (now >= endAtMillis() && !ended) {
      ended = true;
      forwarder.endAll();
    } else if (now >= endAtMillis() - REFUSAL_LEAD_MILLIS) {
      forwarder.refuseUnsent();
    }
    if (callerServer.isDrained() || now >= exitAtMillis) {
      completion.run();
    }
  }
}
