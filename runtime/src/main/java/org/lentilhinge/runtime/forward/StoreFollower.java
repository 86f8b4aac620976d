package org.lentilhinge.runtime.forward;

import io.vertx.core.Vertx;
import java.util.Random;

/**
 * Follows the published store. All endpoints are listed at a fixed interval, which bounds the age
 * of the listing as well as the cost, independently of the number of heartbeats. Changes of the
 * operators' declarations are awaited by long polling, so that a change is known at once. Failed
 * reads of the declarations are retried with exponential backoff.
 */
final class StoreFollower {

  /**
   * The interval between listings of the endpoints, in milliseconds. Allows two listings within the
   * three seconds after which a leaving endpoint must not receive new requests.
   */
  private static final long LISTING_MILLIS = 1_000;

  /**
   * The long-polling timeout for changes of the declarations, in milliseconds. Bounds the delay
   * that an unresponsive connection can cause.
   */
  private static final long WAIT_MILLIS = 2_000;

  /**
   * The first backoff after a failure, in milliseconds. The backoff limits the load on a store in
   * trouble, and stays short enough for changes to arrive in time.
   */
  private static final long LEAST_PAUSE_MILLIS = 100;

  /** The longest backoff after repeated failures, in milliseconds. */
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
              long delay = result.succeeded() ? LISTING_MILLIS : LISTING_MILLIS / 2;
              vertx.setTimer(spread(delay), id -> list());
            });
  }

  private void follow() {
    if (stopped) {
      return;
    }
    boolean readAll = revision < 0;
    (readAll ? store.declared() : store.declaredSince(revision, WAIT_MILLIS))
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
    // After any failure all declarations are read again: the lost response may contain a change.
    revision = -1;
    long backoff = Math.min(GREATEST_PAUSE_MILLIS, LEAST_PAUSE_MILLIS << Math.min(failures, 4));
    failures++;
    vertx.setTimer(spread(backoff), id -> follow());
  }

  /** Shortens a delay by a random part of up to a tenth, to spread the reads of many hosts. */
  private long spread(long millis) {
    return Math.max(1, Math.round(millis * (0.9 + 0.1 * random.nextDouble())));
  }
}
