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
 * Holds one connection pool for each engine. If one connection times out, the complete pool is
 * replaced, because the network path of the other connections may be broken as well.
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
   * Replaces a pool unless it has already been replaced. Streams that are still open may finish.
   */
  boolean replace(EndpointId endpoint, HttpClient suspect) {
    boolean removed = pools.remove(endpoint, suspect);
    if (removed) {
      suspect.shutdown(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    return removed;
  }

  private HttpClient create() {
    HttpClientOptions options =
        new HttpClientOptions()
            .setConnectTimeout(settings.connectTimeoutMillis())
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
            .setTcpNoDelay(true);
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(settings.maximumConnections());
    return vertx.createHttpClient(options, pool);
  }
}
