package org.lentilhinge.runtime.forward;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/**
 * An endpoint that writes bytes without end, as fast as its peers accept them. It counts the bytes
 * that left it, so that a test can tell how many its peers have accepted.
 */
public final class FloodingEndpoint {

  /** A small buffer, so that bytes which no peer has read are not counted as accepted. */
  private static final int SOCKET_BUFFER_BYTES = 65_536;

  private static final long WAIT_SECONDS = 20;

  private final NetServer server;
  private final int port;
  private final AtomicLong acceptedBytes = new AtomicLong();
  private final AtomicInteger opened = new AtomicInteger();
  private final CountDownLatch closed = new CountDownLatch(1);

  /**
   * Starts an endpoint.
   *
   * @param vertx creates the server
   * @param script is run with each connection and each part of a request that arrives on it
   */
  public FloodingEndpoint(Vertx vertx, BiConsumer<FloodingEndpoint, Arrival> script) {
    NetServerOptions options =
        new NetServerOptions()
            .setSendBufferSize(SOCKET_BUFFER_BYTES)
            .setReceiveBufferSize(SOCKET_BUFFER_BYTES);
    server =
        vertx
            .createNetServer(options)
            .connectHandler(
                socket -> {
                  opened.incrementAndGet();
                  socket.handler(
                      bytes -> script.accept(this, new Arrival(socket, bytes.toString())));
                  socket.exceptionHandler(failure -> {});
                  socket.closeHandler(unused -> closed.countDown());
                });
    port =
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join().actualPort();
  }

  /**
   * A part of a request.
   *
   * @param socket the connection
   * @param text the bytes that arrived
   */
  public record Arrival(NetSocket socket, String text) {}

  /**
   * Writes a text on the connection of a request, and then another one without end.
   *
   * @param socket the connection
   * @param head the text that is written once
   * @param repeated the text that is written again and again
   */
  public void flood(NetSocket socket, String head, String repeated) {
    socket
        .write(head)
        .onSuccess(
            unused -> {
              acceptedBytes.addAndGet(head.length());
              writeAgain(socket, Buffer.buffer(repeated));
            });
  }

  private void writeAgain(NetSocket socket, Buffer repeated) {
    socket
        .write(repeated)
        .onFailure(unused -> closed.countDown())
        .onSuccess(
            unused -> {
              acceptedBytes.addAndGet(repeated.length());
              writeAgain(socket, repeated);
            });
  }

  /**
   * Returns the address.
   *
   * @return the IP address and port
   */
  public String address() {
    return "127.0.0.1:" + port;
  }

  /**
   * Returns the number of bytes that the peers have accepted on all connections together.
   *
   * @return the number of bytes, without those in the buffer of this endpoint
   */
  public long acceptedBytes() {
    return acceptedBytes.get();
  }

  /**
   * Returns the number of connections that were opened.
   *
   * @return the number, with those that are closed again
   */
  public int connections() {
    return opened.get();
  }

  /**
   * Waits until a connection is closed.
   *
   * @return whether one was closed in time
   * @throws InterruptedException if the wait is interrupted
   */
  public boolean awaitClosed() throws InterruptedException {
    return closed.await(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
