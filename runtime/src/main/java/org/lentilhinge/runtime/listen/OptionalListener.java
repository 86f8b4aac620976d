package org.lentilhinge.runtime.listen;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.Supplier;

/**
 * Opens a listening socket that a host can do without. While another process uses the port, the
 * host runs without the socket and tries again at an interval.
 */
public final class OptionalListener {

  /** The interval between two attempts, in milliseconds. */
  private static final long RETRY_MILLIS = 3_000;

  private final Vertx vertx;
  private final Supplier<Future<?>> socket;
  private final Observer observer;
  private boolean failed;

  /** Handles the changes of a listening socket. */
  public interface Observer {

    /**
     * Handles the first of a series of failed attempts.
     *
     * @param cause why the socket could not be opened
     */
    void onUnavailable(Throwable cause);

    /** Handles a successful attempt after failed ones. */
    void onAvailable();
  }

  /**
   * Creates a listener that has not made an attempt yet.
   *
   * @param vertx provides the timer
   * @param socket opens the socket; each call is a new attempt
   * @param observer handles the changes
   */
  public OptionalListener(Vertx vertx, Supplier<Future<?>> socket, Observer observer) {
    this.vertx = vertx;
    this.socket = socket;
    this.observer = observer;
  }

  /**
   * Makes the first attempt, and further ones until one is successful.
   *
   * @return completes after the first attempt, whatever its result; never fails
   */
  public Future<Void> open() {
    return socket
        .get()
        .onSuccess(unused -> recordAvailable())
        .onFailure(this::retryLater)
        .otherwiseEmpty()
        .mapEmpty();
  }

  private void recordAvailable() {
    if (failed) {
      observer.onAvailable();
    }
  }

  private void retryLater(Throwable cause) {
    if (!failed) {
      failed = true;
      observer.onUnavailable(cause);
    }
    vertx.setTimer(RETRY_MILLIS, id -> open());
  }
}
