package org.lentilhinge.runtime.forward;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * The connections of a host, apart by what they carry: a response that is repeated late can only be
 * taken for one of the same kind.
 */
final class HostConnections {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final Vertx vertx;
  private final LongSupplier clock;
  private final EndpointPool requestPool;
  private final EndpointPool orderPool;
  private final EndpointPool reportPool;
  private final EndpointPool storePool;

  HostConnections(Vertx vertx, LongSupplier clock, HeaderTranslator headerTranslator) {
    this.vertx = vertx;
    this.clock = clock;
    requestPool = createPool(new NamedResponseMatcher(headerTranslator));
    orderPool = createPool(new OrderedResponseMatcher());
    reportPool = createPool(new OrderedResponseMatcher());
    storePool = createPool(new OrderedResponseMatcher());
  }

  private EndpointPool createPool(ResponseMatcher matcher) {
    return new EndpointPool(vertx, CONNECT_TIMEOUT_MILLIS, clock, matcher);
  }

  /** Returns the pool of the connections for the requests of callers. */
  EndpointPool requestPool() {
    return requestPool;
  }

  /** Returns the pools of the connections to endpoints. */
  List<EndpointPool> endpointPools() {
    return List.of(requestPool, orderPool, reportPool);
  }

  /** Returns a client for orders to engines. */
  ControlHttpClient orderClient() {
    return new ControlHttpClient(vertx, orderPool, clock);
  }

  /** Returns a client for reading the reports of engines. */
  ControlHttpClient reportClient() {
    return new ControlHttpClient(vertx, reportPool, clock);
  }

  /** Returns a client for calls to the store. */
  ControlHttpClient storeClient() {
    return new ControlHttpClient(vertx, storePool, clock);
  }

  /** Closes the idle connections that have expired. */
  void closeExpired() {
    endpointPools().forEach(EndpointPool::closeExpiredConnections);
    storePool.closeExpiredConnections();
  }
}
