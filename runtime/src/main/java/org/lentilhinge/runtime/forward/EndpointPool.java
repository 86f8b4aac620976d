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
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** A pool of idle connections for each address. Connections that may be stale are not reused. */
final class EndpointPool {

  /** The idle timeout of connections whose server does not announce one, in milliseconds. */
  private static final long DEFAULT_IDLE_MILLIS = 4_000;

  /** The margin by which a connection is dropped before its server closes it, in milliseconds. */
  private static final long CLOSE_MARGIN_MILLIS = 600;

  /**
   * The time for which an address whose responses could not be told apart gets each request on a
   * new connection, in milliseconds.
   */
  private static final long UNRELIABLE_EXPIRY_MILLIS = 60_000;

  private static final int MAXIMUM_PORT = 65_535;

  private final NetClient client;
  private final LongSupplier clock;
  private final ResponseMatcher matcher;
  private final Consumer<String> unreliableListener;
  private final Map<String, Long> unreliableUntilMillis = new HashMap<>();
  private final Map<String, Deque<IdleConnection>> idleConnections = new HashMap<>();

  private record IdleConnection(EndpointConnection connection, long expiresAtMillis) {}

  /** Learns how a connection to one address may be used further. */
  private final class AddressListener implements EndpointConnection.Listener {

    private final String address;
    private final boolean kept;

    AddressListener(String address, boolean kept) {
      this.address = address;
      this.kept = kept;
    }

    @Override
    public void onIdle(EndpointConnection connection) {
      if (kept) {
        release(address, connection);
      } else {
        connection.close();
      }
    }

    @Override
    public void onUnreliablePeer() {
      recordUnreliable(address);
    }
  }

  /**
   * Creates a pool.
   *
   * @param connectTimeoutMillis the maximum time for opening a connection, in milliseconds
   * @param clock the monotonic clock, in milliseconds
   * @param matcher finds out to which requests the responses on the connections belong
   * @param unreliableListener receives each address whose responses could not be told apart, when
   *     its connections begin to carry a single request each
   */
  EndpointPool(
      Vertx vertx,
      int connectTimeoutMillis,
      LongSupplier clock,
      ResponseMatcher matcher,
      Consumer<String> unreliableListener) {
    this.clock = clock;
    this.matcher = matcher;
    this.unreliableListener = unreliableListener;
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
    return takeIdle(address, Optional.empty())
        .map(Future::succeededFuture)
        .orElseGet(() -> open(address));
  }

  /**
   * Returns an idle connection to an address if one is still valid.
   *
   * @param requestId the id that the connection must not have carried before, if the request has
   *     one
   */
  Optional<EndpointConnection> takeIdle(String address, Optional<String> requestId) {
    Deque<IdleConnection> available = idleConnections.get(address);
    while (available != null && !available.isEmpty()) {
      IdleConnection newest = available.pollLast();
      if (newest.connection().isOpen()
          && newest.expiresAtMillis() > clock.getAsLong()
          && requestId.filter(id -> !newest.connection().mayCarry(id)).isEmpty()) {
        return Optional.of(newest.connection());
      }
      newest.connection().close();
    }
    return Optional.empty();
  }

  /** Opens a new connection to an address, which is kept for further requests. */
  Future<EndpointConnection> open(String address) {
    return open(address, new AddressListener(address, true));
  }

  /** Opens a new connection to an address for a single request. */
  Future<EndpointConnection> openForSingleUse(String address) {
    return open(address, new AddressListener(address, false));
  }

  private Future<EndpointConnection> open(String address, EndpointConnection.Listener listener) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    if (port <= 0 || port > MAXIMUM_PORT) {
      return Future.failedFuture("port out of range: " + address);
    }
    return client
        .connect(port, address.substring(0, colon))
        .map(socket -> new EndpointConnection(socket, clock.getAsLong(), matcher, listener));
  }

  private void recordUnreliable(String address) {
    if (!isUnreliable(address)) {
      unreliableListener.accept(address);
    }
    closeIdle(address);
    unreliableUntilMillis.put(address, clock.getAsLong() + UNRELIABLE_EXPIRY_MILLIS);
  }

  private boolean isUnreliable(String address) {
    Long untilMillis = unreliableUntilMillis.get(address);
    return untilMillis != null && untilMillis > clock.getAsLong();
  }

  /** Keeps a connection that is free for another request, if it may still be used. */
  void release(String address, EndpointConnection connection) {
    long idleMillis =
        connection
            .keepAliveSeconds()
            .map(seconds -> seconds * 1_000 - CLOSE_MARGIN_MILLIS)
            .orElse(DEFAULT_IDLE_MILLIS);
    if (idleMillis <= 0 || isUnreliable(address)) {
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
    unreliableUntilMillis.values().removeIf(untilMillis -> untilMillis <= now);
  }

  /** Closes all idle connections to the address of an endpoint that is no longer registered. */
  void removeAddress(String address) {
    unreliableUntilMillis.remove(address);
    closeIdle(address);
  }

  private void closeIdle(String address) {
    Deque<IdleConnection> removed = idleConnections.remove(address);
    if (removed != null) {
      removed.forEach(entry -> entry.connection().close());
    }
  }
}
