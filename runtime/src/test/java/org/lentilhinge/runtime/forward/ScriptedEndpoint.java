package org.lentilhinge.runtime.forward;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** An endpoint that records the received requests and runs a script that responds to them. */
final class ScriptedEndpoint {

  private static final long WAIT_SECONDS = 10;

  private final NetServer server;
  private final List<String> requests = new CopyOnWriteArrayList<>();
  private final List<NetSocket> sockets = new CopyOnWriteArrayList<>();
  private final CountDownLatch closed = new CountDownLatch(1);
  private final int port;
  private volatile boolean crashed;

  /**
   * Starts an endpoint.
   *
   * @param vertx creates the server
   * @param script responds to a request, which is passed as text
   */
  ScriptedEndpoint(Vertx vertx, BiConsumer<NetSocket, String> script) {
    server =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  sockets.add(socket);
                  StringBuilder pending = new StringBuilder();
                  socket.handler(
                      bytes -> onData(socket, pending.append(latin1Text(bytes)), script));
                  socket.closeHandler(unused -> closed.countDown());
                });
    port =
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join().actualPort();
  }

  private static String latin1Text(Buffer bytes) {
    return bytes.toString("ISO-8859-1");
  }

  private void onData(
      NetSocket socket, StringBuilder pending, BiConsumer<NetSocket, String> script) {
    String text = pending.toString();
    int headLength = text.indexOf("\r\n\r\n");
    if (headLength < 0) {
      return;
    }
    int bodyLength = 0;
    for (String line : text.substring(0, headLength).split("\r\n")) {
      if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
        bodyLength = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    if (text.length() >= headLength + 4 + bodyLength) {
      requests.add(text);
      pending.setLength(0);
      script.accept(socket, text);
    }
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  List<String> requests() {
    return requests;
  }

  int connections() {
    return sockets.size();
  }

  /** Ends the endpoint: closes its port and all connections. */
  void crash() {
    crashed = true;
    server.close();
    sockets.forEach(NetSocket::close);
  }

  boolean isCrashed() {
    return crashed;
  }

  boolean awaitClosed() throws InterruptedException {
    return closed.await(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
