package org.lentilhinge.runtime.forward;

import io.vertx.core.Vertx;
import java.util.Random;

/**
 * Follows the published store. All endpoints are listed at a fixed interval, which bounds the age
 * of the listing as well as the cost, independently of the number of heartbeats. Changes of the
 * operators' declarations are awaited by long polling, so that a change is detected immediately.
 * Failed reads of the declarations are retried with exponential backoff, and a failed listing after
 * half of the interval.
 */
final class StoreFollower {

  /**
   * The interval between listings of the endpoints, in milliseconds. Allows two listings within the
   * three seconds after which a leaving endpoint must not receive new requests.
   */
  private static final long LISTING_INTERVAL_MILLIS = 1_000;

  /**
   * The long-polling timeout for changes of the declarations, in milliseconds. Bounds the delay
   * that an unresponsive connection can cause.
   */
  private static final long LONG_POLL_TIMEOUT_MILLIS = 2_000;

  /**
   * The first backoff after a failure, in milliseconds. The backoff limits the load on a failing
   * store, and stays short enough for changes to arrive in time.
   */
  private static final long MINIMUM_BACKOFF_MILLIS = 100;

  /** The longest backoff after repeated failures, in milliseconds. */
  private static final long MAXIMUM_BACKOFF_MILLIS = 800;

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
    listEndpoints();
    followDeclaredState();
  }

  void stop() {
    stopped = true;
  }

  private void listEndpoints() {
    if (stopped) {
      return;
    }
    store
        .listEndpoints()
        .onComplete(
            result -> {
              if (result.succeeded()) {
                listener.onListing(result.result());
              } else {
                listener.onFailure("endpoints", String.valueOf(result.cause().getMessage()));
              }
              long delay =
                  result.succeeded() ? LISTING_INTERVAL_MILLIS : LISTING_INTERVAL_MILLIS / 2;
              vertx.setTimer(jittered(delay), id -> listEndpoints());
            });
  }

  private void followDeclaredState() {
    if (stopped) {
      return;
    }
    boolean readAll = revision < 0;
    (readAll
            ? store.readDeclaredState()
            : store.awaitDeclaredState(revision, LONG_POLL_TIMEOUT_MILLIS))
        .onSuccess(
            declaredState -> {
              failures = 0;
              revision = Math.max(revision, declaredState.revision());
              listener.onDeclaredState(declaredState);
              vertx.runOnContext(unused -> followDeclaredState());
            })
        .onFailure(failure -> retryAfterFailure(failure));
  }

  private void retryAfterFailure(Throwable failure) {
    listener.onFailure("declarations", String.valueOf(failure.getMessage()));
    // After any failure all declarations are read again: the lost response may contain a change.
    revision = -1;
    long backoff =
        Math.min(MAXIMUM_BACKOFF_MILLIS, MINIMUM_BACKOFF_MILLIS << Math.min(failures, 4));
    failures++;
    vertx.setTimer(jittered(backoff), id -> followDeclaredState());
  }

  /** Shortens a delay by a random amount of up to a tenth, to spread the reads of many hosts. */
  private long jittered(long millis) {
    return Math.max(1, Math.round(millis * (0.9 + 0.1 * random.nextDouble())));
  }
}
