package org.lentilhinge.runtime.service;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Calls plain services over HTTP/1.1. Each call is sent on a connection of its own. Services do not
 * name in a response the call to which it belongs, so that on a connection that carried another
 * call a repeated response to that one could not be recognized. Besides, a kept connection that the
 * service has closed in the meantime would accept the bytes and needlessly leave the outcome
 * unknown.
 */
public final class HttpServiceClient implements ServiceClient {

  private static final int KEEP_ALIVE_SECONDS = 15;

  private final ServiceClientSettings settings;
  private final Scheduler scheduler;
  private final HttpClient client;

  /**
   * Creates a client.
   *
   * @param vertx creates the connections
   * @param settings the timeouts and size limits
   * @param scheduler runs the timeouts
   */
  public HttpServiceClient(Vertx vertx, ServiceClientSettings settings, Scheduler scheduler) {
    this.settings = settings;
    this.scheduler = scheduler;
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(settings.connectTimeoutMillis())
            .setKeepAlive(false)
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
            .setTcpNoDelay(true);
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(settings.maximumConnections());
    this.client = vertx.createHttpClient(options, pool);
  }

  @Override
  public Single<ServiceAttemptResult> call(ServiceAttempt attempt, BooleanSupplier mayWrite) {
    return Single.defer(
        () -> {
          ServiceExchange exchange =
              new ServiceExchange(attempt, mayWrite, settings.maximumResponseBytes());
          return exchange
              .run(client)
              .timeout(
                  settings.responseTimeoutMillis(),
                  TimeUnit.MILLISECONDS,
                  scheduler,
                  Single.fromSupplier(() -> exchange.abandon("no answer in time")))
              .doOnDispose(() -> exchange.abandon("caller disconnected"));
        });
  }
}
