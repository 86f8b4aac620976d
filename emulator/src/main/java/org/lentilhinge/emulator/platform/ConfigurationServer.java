package org.lentilhinge.emulator.platform;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.rxjava3.CompletableHelper;
import io.vertx.rxjava3.SingleHelper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Emulates the platform's configuration service: values that can be read and watched over HTTP, as
 * {@link org.lentilhinge.runtime.platform.HttpConfigurationService} describes. The class is
 * thread-safe.
 */
public final class ConfigurationServer {

  private static final String PREFIX = "/values/";
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;
  private static final String LOOPBACK = "127.0.0.1";

  private final Vertx vertx;
  private final Map<String, VersionedValue> values = new HashMap<>();
  private final List<PendingWatch> pendingWatches = new ArrayList<>();
  private Map<String, VersionedValue> staleValues;
  private HttpServer server;
  private Context context;
  private long revision;
  private boolean unavailable;
  private long callCount;

  /**
   * Creates a service without values that does not listen yet.
   *
   * @param vertx the Vert.x instance that runs the server
   */
  public ConfigurationServer(Vertx vertx) {
    this.vertx = vertx;
  }

  /**
   * Starts listening on a loopback address.
   *
   * @param port the port, or 0 for any free port
   * @return the port
   */
  public Single<Integer> start(int port) {
    context = vertx.getOrCreateContext();
    server = vertx.createHttpServer().requestHandler(this::handle);
    return SingleHelper.<HttpServer>toSingle(
            handler -> server.listen(port, LOOPBACK).onComplete(handler))
        .map(HttpServer::actualPort);
  }

  /**
   * Stops the server.
   *
   * @return a Completable that completes when the server has stopped listening
   */
  public Completable stop() {
    return CompletableHelper.toCompletable(handler -> server.close().onComplete(handler));
  }

  /**
   * Publishes a value and answers the pending watches of its key.
   *
   * @param key the key
   * @param text the value
   */
  public synchronized void publish(String key, String text) {
    revision++;
    values.put(key, new VersionedValue(text, revision));
    if (staleValues == null) {
      answerPendingWatches();
    }
  }

  /**
   * Starts or ends an outage. During an outage the service closes each connection that sends a
   * request, including those of pending watches.
   *
   * @param isDown whether the service is down
   */
  public synchronized void setUnavailable(boolean isDown) {
    unavailable = isDown;
    if (unavailable) {
      pendingWatches.forEach(watch -> close(watch.request()));
      pendingWatches.clear();
    }
  }

  /**
   * Makes the service answer as a replica that no longer receives updates, or with the current
   * values again.
   *
   * @param isStale whether to answer with a snapshot of the values at the time of this call
   */
  public synchronized void setStale(boolean isStale) {
    staleValues = isStale ? new HashMap<>(values) : null;
    if (!isStale) {
      answerPendingWatches();
    }
  }

  /**
   * Returns the number of calls, including rejected ones; a watch counts as one call.
   *
   * @return the number of calls since the service was created
   */
  public synchronized long callCount() {
    return callCount;
  }

  private synchronized void handle(HttpServerRequest request) {
    callCount++;
    if (unavailable) {
      close(request);
      return;
    }
    String key = request.path().substring(Math.min(PREFIX.length(), request.path().length()));
    long after = parseNumber(request.getParam("after"));
    long waitMillis = parseNumber(request.getParam("wait"));
    VersionedValue value = currentValue(key);
    if (value != null && value.revision() > after) {
      send(request, value);
    } else if (waitMillis > 0) {
      addWatch(new PendingWatch(request, key, after), waitMillis);
    } else {
      request.response().setStatusCode(value == null ? NOT_FOUND : NOT_MODIFIED).end();
    }
  }

  private static long parseNumber(String parameter) {
    return parameter == null ? 0 : Long.parseLong(parameter);
  }

  private VersionedValue currentValue(String key) {
    return staleValues == null ? values.get(key) : staleValues.get(key);
  }

  private void addWatch(PendingWatch watch, long waitMillis) {
    pendingWatches.add(watch);
    long timer = vertx.setTimer(waitMillis, unused -> expireWatch(watch));
    watch.request().connection().closeHandler(unused -> removeWatch(watch, timer));
  }

  private synchronized void expireWatch(PendingWatch watch) {
    if (pendingWatches.remove(watch)) {
      watch.request().response().setStatusCode(NOT_MODIFIED).end();
    }
  }

  private synchronized void removeWatch(PendingWatch watch, long timer) {
    vertx.cancelTimer(timer);
    pendingWatches.remove(watch);
  }

  private void answerPendingWatches() {
    for (PendingWatch watch : List.copyOf(pendingWatches)) {
      VersionedValue value = currentValue(watch.key());
      if (value != null && value.revision() > watch.afterRevision()) {
        pendingWatches.remove(watch);
        context.runOnContext(unused -> send(watch.request(), value));
      }
    }
  }

  private static void send(HttpServerRequest request, VersionedValue value) {
    request.response().putHeader("ETag", "\"" + value.revision() + "\"").end(value.text());
  }

  private void close(HttpServerRequest request) {
    context.runOnContext(unused -> request.connection().close());
  }

  private record VersionedValue(String text, long revision) {}

  private record PendingWatch(HttpServerRequest request, String key, long afterRevision) {}
}
