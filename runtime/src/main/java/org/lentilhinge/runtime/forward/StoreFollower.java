package org.lentilhinge.runtime.forward;

import io.vertx.core.Vertx;
import java.util.Random;

/**
 * Keeps up with the published store. Endpoints are listed whole at a steady pace, which bounds both
 * their age and the price, whatever the number of heartbeats. What operators declare is awaited, so
 * that a change is known at once. A reading that failed is made again after a pause that grows.
 */
final class StoreFollower {

  /** Two listings in the three seconds after which a leaving endpoint gets no new work. */
  private static final long LISTING_MILLIS = 1_000;

  /** How long a change of the declarations is awaited; a silent connection costs no more. */
  private static final long WAIT_MILLIS = 2_000;

  /** The pauses after failures: enough to spare a store in trouble, short enough to be in time. */
  private static final long LEAST_PAUSE_MILLIS = 100;

  private static final long GREATEST_PAUSE_MILLIS = 800;

  private final Vertx vertx;
  private final PublishedStore store;
  private final StoreListener listener;
  private final Random random;
  private long revision = -1;
  private int failures;
  private boolean stopped;

  StoreFollower(Vertx vertx, PublishedStore store, StoreListener listener, Random random) {
    this.vertx = vertx;
    this.store = store;
    this.listener = listener;
    this.random = random;
  }

  void start() {
    list();
    follow();
  }

  void stop() {
    stopped = true;
  }

  private void list() {
    if (stopped) {
      return;
    }
    store
        .endpoints()
        .onComplete(
            result -> {
              if (result.succeeded()) {
                listener.listed(result.result());
              } else {
                listener.failed("endpoints", String.valueOf(result.cause().getMessage()));
              }
              long pause = result.succeeded() ? LISTING_MILLIS : LISTING_MILLIS / 2;
              vertx.setTimer(spread(pause), id -> list());
            });
  }

  private void follow() {
    if (stopped) {
      return;
    }
    boolean whole = revision < 0;
    (whole ? store.declared() : store.declaredSince(revision, WAIT_MILLIS))
        .onSuccess(
            declared -> {
              failures = 0;
              revision = Math.max(revision, declared.revision());
              listener.declared(declared);
              vertx.runOnContext(nothing -> follow());
            })
        .onFailure(failure -> failed(failure));
  }

  private void failed(Throwable failure) {
    listener.failed("declarations", String.valueOf(failure.getMessage()));
    // After any failure the whole is read again: a lost answer may have held a change.
    revision = -1;
    long pause = Math.min(GREATEST_PAUSE_MILLIS, LEAST_PAUSE_MILLIS << Math.min(failures, 4));
    failures++;
    vertx.setTimer(spread(pause), id -> follow());
  }

  /** Spreads the readings of many hosts, by up to a tenth. */
  private long spread(long millis) {
    return Math.max(1, Math.round(millis * (0.9 + 0.1 * random.nextDouble())));
  }
}
