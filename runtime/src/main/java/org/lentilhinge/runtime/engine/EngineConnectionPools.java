package org.lentilhinge.runtime.engine;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.identity.EndpointId;

/**
 * Holds one connection pool for each engine. Each connection carries one request only: refusals,
 * reports and responses to orders do not name the request to which they belong, so that on a
 * connection that carried another request a repeated response to that one could not be recognized.
 * If one connection times out, the complete pool is replaced, because the network path of its other
 * connections may be broken as well.
 */
final class EngineConnectionPools {

  private static final int KEEP_ALIVE_SECONDS = 15;
  private static final long DRAIN_TIMEOUT_SECONDS = 600;

  private final Vertx vertx;
  private final EngineClientSettings settings;
  private final Map<EndpointId, HttpClient> pools = new ConcurrentHashMap<>();

  EngineConnectionPools(Vertx vertx, EngineClientSettings settings) {
    this.vertx = vertx;
    this.settings = settings;
  }

  HttpClient pool(EndpointId endpoint) {
    return pools.computeIfAbsent(endpoint, ignored -> create());
  }

  /**
   * Replaces a pool. Streams that are still open may finish.
   *
   * @return false if the pool had already been replaced
   */
  boolean replace(EndpointId endpoint, HttpClient failedPool) {
    boolean replaced = pools.remove(endpoint, failedPool);
    if (replaced) {
      failedPool.shutdown(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    return replaced;
  }

  private HttpClient create() {
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(settings.connectTimeoutMillis())
            .setKeepAlive(false)
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
            .setTcpNoDelay(true);
    PoolOptions poolOptions = new PoolOptions().setHttp1MaxSize(settings.maximumConnections());
    return vertx.createHttpClient(options, poolOptions);
  }
}
