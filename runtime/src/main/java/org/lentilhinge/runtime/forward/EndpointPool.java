package org.lentilhinge.runtime.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/** A pool of idle connections for each address. Connections that may be stale are not reused. */
final class EndpointPool {

  /** The idle timeout of connections whose server does not announce one, in milliseconds. */
  private static final long DEFAULT_IDLE_MILLIS = 4_000;

  /** The margin by which a connection is dropped before its server closes it, in milliseconds. */
  private static final long CLOSE_MARGIN_MILLIS = 600;

  private static final int MAXIMUM_PORT = 65_535;

  private final NetClient client;
  private final LongSupplier clock;
  private final Map<String, Deque<IdleConnection>> idleConnections = new HashMap<>();

  private record IdleConnection(EndpointConnection connection, long expiresAtMillis) {}

  EndpointPool(Vertx vertx, int connectTimeoutMillis, LongSupplier clock) {
    this.clock = clock;
    client =
        vertx.createNetClient(
            new NetClientOptions()
                .setConnectTimeout(connectTimeoutMillis)
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true)
                .setReconnectAttempts(0));
  }

  /** Returns an idle connection to an address if one is still valid, or opens a new connection. */
  Future<EndpointConnection> acquire(String address) {
    return takeIdle(address).map(Future::succeededFuture).orElseGet(() -> open(address));
  }

  /** Returns an idle connection to an address if one is still valid. */
  Optional<EndpointConnection> takeIdle(String address) {
    Deque<IdleConnection> available = idleConnections.get(address);
    while (available != null && !available.isEmpty()) {
      IdleConnection newest = available.pollLast();
      if (newest.connection().isOpen() && newest.expiresAtMillis() > clock.getAsLong()) {
        return Optional.of(newest.connection());
      }
      newest.connection().close();
    }
    return Optional.empty();
  }

  /** Opens a new connection to an address. */
  Future<EndpointConnection> open(String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    if (port <= 0 || port > MAXIMUM_PORT) {
      return Future.failedFuture("port out of range: " + address);
    }
    return client
        .connect(port, address.substring(0, colon))
        .map(
            socket ->
                new EndpointConnection(
                    socket, clock.getAsLong(), connection -> release(address, connection)));
  }

  /** Keeps a connection that is free for another request, if it may still be used. */
  void release(String address, EndpointConnection connection) {
    long idleMillis =
        connection
            .keepAliveSeconds()
            .map(seconds -> seconds * 1_000 - CLOSE_MARGIN_MILLIS)
            .orElse(DEFAULT_IDLE_MILLIS);
    if (idleMillis <= 0) {
      connection.close();
      return;
    }
    idleConnections
        .computeIfAbsent(address, unused -> new ArrayDeque<>())
        .addLast(new IdleConnection(connection, clock.getAsLong() + idleMillis));
  }

  /** Closes the idle connections that have expired. */
  void closeExpiredConnections() {
    long now = clock.getAsLong();
    for (Deque<IdleConnection> entries : idleConnections.values()) {
      entries.removeIf(
          entry -> {
            boolean expired = !entry.connection().isOpen() || entry.expiresAtMillis() <= now;
            if (expired) {
              entry.connection().close();
            }
            return expired;
          });
    }
    idleConnections.values().removeIf(Deque::isEmpty);
  }

  /** Closes all idle connections to the address of an endpoint that is no longer registered. */
  void removeAddress(String address) {
    Deque<IdleConnection> removed = idleConnections.remove(address);
    if (removed != null) {
      removed.forEach(entry -> entry.connection().close());
    }
  }
}
