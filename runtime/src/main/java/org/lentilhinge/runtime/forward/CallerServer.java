package org.lentilhinge.runtime.forward;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.lentilhinge.forward.ForwardLimits;

/** Accepts connections of callers and passes each complete request to a handler. */
public final class CallerServer {

  private static final int ACCEPT_BACKLOG = 1_024;
  private static final int NO_STATUS = 0;

  /**
   * The retry delay for a request whose body has no room, in milliseconds: a body of the largest
   * size in use takes less time at the bandwidth between regions when little else is sent.
   */
  private static final long BODY_RETRY_MILLIS = 1_000;

  private final NetServer server;
  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private final Supplier<ForwardLimits> limits;
  private final Consumer<CallerExchange> handler;
  private final BiConsumer<Integer, String> rejectionListener;
  private final LongSupplier clock;
  private final HostMemory memory;
  private boolean stopping;
  private int requestsInFlight;
  private int closingConnections;

  /**
   * Creates a server that does not listen yet.
   *
   * @param vertx creates the server socket
   * @param address the IP address and port to listen on
   * @param limits supplies the limits that apply to the next request on each connection
   * @param clock the monotonic clock, in milliseconds
   * @param memory bounds the bytes of request bodies, and of responses that callers have not
   *     accepted yet
   * @param handler receives each complete request
   * @param rejectionListener receives status and reason of each request rejected as malformed
   */
  CallerServer(
      Vertx vertx,
      String address,
      Supplier<ForwardLimits> limits,
      LongSupplier clock,
      HostMemory memory,
      Consumer<CallerExchange> handler,
      BiConsumer<Integer, String> rejectionListener) {
    this.limits = limits;
    this.handler = handler;
    this.rejectionListener = rejectionListener;
    this.clock = clock;
    this.memory = memory;
    int colon = address.lastIndexOf(':');
    server =
        vertx
            .createNetServer(
                new NetServerOptions()
                    .setHost(address.substring(0, colon))
                    .setPort(Integer.parseInt(address.substring(colon + 1)))
                    .setAcceptBacklog(ACCEPT_BACKLOG)
                    .setTcpNoDelay(true))
            .connectHandler(
                socket -> connections.add(new CallerConnection(socket, this, clock.getAsLong())));
  }

  /**
   * Starts to listen.
   *
   * @return completes with the port
   */
  public Future<Integer> listen() {
    return server.listen().map(NetServer::actualPort);
  }

  ForwardLimits limits() {
    return limits.get();
  }

  HostMemory memory() {
    return memory;
  }

  long now() {
    return clock.getAsLong();
  }

  boolean isStopping() {
    return stopping;
  }

  /**
   * Returns the number of requests whose responses are not complete yet.
   *
   * @return the number
   */
  public int requestsInFlight() {
    return requestsInFlight;
  }

  /**
   * Returns the number of responses that are not complete or not sent yet.
   *
   * @return the number of responses that end incomplete if the process ends now
   */
  public int unfinishedResponses() {
    return requestsInFlight + closingConnections;
  }

  /** Indicates whether all responses have been passed to the operating system. */
  boolean isDrained() {
    return unfinishedResponses() == 0;
  }

  /** Records that a connection closes once the last response on it has been sent. */
  void onConnectionClosing(Future<Void> closed) {
    closingConnections++;
    closed.onComplete(result -> closingConnections--);
  }

  void startRequest(CallerExchange exchange) {
    requestsInFlight++;
    handler.accept(exchange);
  }

  void onRequestFinished() {
    requestsInFlight = Math.max(0, requestsInFlight - 1);
  }

  /** Refuses a request whose body was not read, as request bodies take too much memory. */
  void refuseBody(CallerExchange exchange) {
    requestsInFlight++;
    memory.recordRefusedBody(exchange.request());
    exchange.refuseForNow(BODY_RETRY_MILLIS, HostMemory.REQUEST_BODIES);
  }

  void onRequestRejected(int status, String reason) {
    requestsInFlight++;
    rejectionListener.accept(status, reason);
  }

  /** Records that a response was cut because its caller did not accept it. */
  void onResponseCut(String reason) {
    rejectionListener.accept(NO_STATUS, reason);
  }

  void onConnectionClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Applies changed limits, and closes connections that are idle for longer than these allow. */
  public void closeExpiredConnections() {
    long now = clock.getAsLong();
    connections.forEach(CallerConnection::updateLimits);
    List.copyOf(connections).forEach(connection -> connection.closeIfExpired(now));
    memory.slowCallers().closeStalled(now);
  }

  /** Makes each subsequent response the last one on its connection. */
  public void stop() {
    stopping = true;
  }

  /**
   * Stops accepting connections and closes those without a request. The other connections stay open
   * until their responses are complete or the timeout expires.
   *
   * @param timeoutMillis the timeout for the requests in flight, in milliseconds
   */
  public void closeIdle(long timeoutMillis) {
    server.shutdown(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS);
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /** Stops accepting connections, and closes all connections. */
  public void close() {
    server.close();
    List.copyOf(connections).forEach(CallerConnection::close);
  }
}
