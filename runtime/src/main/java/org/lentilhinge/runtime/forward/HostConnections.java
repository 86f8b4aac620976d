package org.lentilhinge.runtime.forward;

import java.util.List;
import org.lentilhinge.runtime.memory.MemoryBounds;

/**
 * The connections of a host, apart by what they carry: a response that is repeated late can only be
 * taken for one of the same kind.
 */
final class HostConnections {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final HostContext context;
  private final HostMemory memory;
  private final EndpointPool requestPool;
  private final EndpointPool orderPool;
  private final EndpointPool reportPool;
  private final EndpointPool storePool;

  HostConnections(HostContext context, HeaderTranslator headerTranslator) {
    this.context = context;
    memory = new HostMemory(context, headerTranslator, MemoryBounds.ofHeap());
    requestPool = createPool("requests", new NamedResponseMatcher(headerTranslator));
    orderPool = createPool("orders", new OrderedResponseMatcher());
    reportPool = createPool("reports", new OrderedResponseMatcher());
    storePool = createPool("store", new OrderedResponseMatcher());
  }

  private EndpointPool createPool(String carried, ResponseMatcher matcher) {
    return new EndpointPool(
        context.vertx(),
        CONNECT_TIMEOUT_MILLIS,
        context.clock(),
        matcher,
        address ->
            context.log().line("address-unreliable", "address", address, "carried", carried));
  }

  private ControlHttpClient createClient(EndpointPool pool) {
    return new ControlHttpClient(context.vertx(), pool, context.clock(), memory.responses());
  }

  /** Returns the bounds of the bytes that all connections hold together. */
  HostMemory memory() {
    return memory;
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
    return createClient(orderPool);
  }

  /** Returns a client for reading the reports of engines. */
  ControlHttpClient reportClient() {
    return createClient(reportPool);
  }

  /** Returns a client for calls to the store. */
  ControlHttpClient storeClient() {
    return createClient(storePool);
  }

  /** Closes the idle connections that have expired. */
  void closeExpired() {
    endpointPools().forEach(EndpointPool::closeExpiredConnections);
    storePool.closeExpiredConnections();
  }
}
