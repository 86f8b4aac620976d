package org.lentilhinge.runtime.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/** Keeps idle connections to each address. A connection that may be stale is not handed out. */
final class EndpointPool {

  /** How long an idle connection is trusted where its server names no time, in milliseconds. */
  private static final long DEFAULT_IDLE_MILLIS = 4_000;

  /** A connection is given up this long before its server may close it, in milliseconds. */
  private static final long CLOSE_MARGIN_MILLIS = 600;

  private final NetClient client;
  private final LongSupplier clock;
  private final Map<String, Deque<Idle>> idle = new HashMap<>();

  private record Idle(EndpointConnection connection, long untilMillis) {}

  EndpointPool(Vertx vertx, int connectMillis, LongSupplier clock) {
    this.clock = clock;
    client =
        vertx.createNetClient(
            new NetClientOptions()
                .setConnectTimeout(connectMillis)
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true)
                .setReconnectAttempts(0));
  }

  /** Hands out a connection to an address, an idle one if there is one that can be trusted. */
  Future<EndpointConnection> acquire(String address) {
    Deque<Idle> waiting = idle.get(address);
    while (waiting != null && !waiting.isEmpty()) {
      Idle newest = waiting.pollLast();
      if (newest.connection().isOpen() && newest.untilMillis() > clock.getAsLong()) {
        return Future.succeededFuture(newest.connection());
      }
      newest.connection().close();
    }
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    return client
        .connect(port, address.substring(0, colon))
        .map(socket -> new EndpointConnection(socket, free -> release(address, free)));
  }

  private void release(String address, EndpointConnection connection) {
    long kept =
        connection
            .keepAliveSeconds()
            .map(seconds -> seconds * 1_000 - CLOSE_MARGIN_MILLIS)
            .orElse(DEFAULT_IDLE_MILLIS);
    if (kept <= 0) {
      connection.close();
      return;
    }
    idle.computeIfAbsent(address, unused -> new ArrayDeque<>())
        .addLast(new Idle(connection, clock.getAsLong() + kept));
  }

  /** Closes idle connections that are no longer trusted. */
  void expire() {
    long now = clock.getAsLong();
    for (Deque<Idle> waiting : idle.values()) {
      waiting.removeIf(
          one -> {
            boolean stale = !one.connection().isOpen() || one.untilMillis() <= now;
            if (stale) {
              one.connection().close();
            }
            return stale;
          });
    }
    idle.values().removeIf(Deque::isEmpty);
  }

  /** Closes all idle connections to an address whose endpoint is gone. */
  void forget(String address) {
    Deque<Idle> waiting = idle.remove(address);
    if (waiting != null) {
      waiting.forEach(one -> one.connection().close());
    }
  }
}
