package org.lentilhinge.runtime.forward;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Random;
import java.util.function.LongSupplier;

/** The connections of a host to endpoints, other hosts and the store, apart by what they carry. */
final class HostConnections {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final EndpointPool requestPool;
  private final EndpointPool callPool;
  private final EndpointPool storePool;
  private final ControlHttpClient endpointClient;
  private final ControlHttpClient storeClient;

  HostConnections(
      Vertx vertx, LongSupplier clock, HeaderTranslator headerTranslator, Random random) {
    NamedResponseMatcher named = new NamedResponseMatcher(headerTranslator, random);
    OrderedResponseMatcher ordered = new OrderedResponseMatcher();
    requestPool = new EndpointPool(vertx, CONNECT_TIMEOUT_MILLIS, clock, named);
    callPool = new EndpointPool(vertx, CONNECT_TIMEOUT_MILLIS, clock, named);
    storePool = new EndpointPool(vertx, CONNECT_TIMEOUT_MILLIS, clock, ordered);
    endpointClient = new ControlHttpClient(vertx, callPool, clock, named);
    storeClient = new ControlHttpClient(vertx, storePool, clock, ordered);
  }

  /** Returns the pool of the connections for the requests of callers. */
  EndpointPool requestPool() {
    return requestPool;
  }

  /** Returns the pools of the connections to endpoints. */
  List<EndpointPool> endpointPools() {
    return List.of(requestPool, callPool);
  }

  /** Returns the client for the host's own calls to endpoints. */
  ControlHttpClient endpointClient() {
    return endpointClient;
  }

  /** Returns the client for calls to the store. */
  ControlHttpClient storeClient() {
    return storeClient;
  }

  /** Closes the idle connections that have expired. */
  void closeExpired() {
    requestPool.closeExpiredConnections();
    callPool.closeExpiredConnections();
    storePool.closeExpiredConnections();
  }
}
