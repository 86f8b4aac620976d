package org.lentilhinge.runtime.peer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A TCP proxy between two hosts that can interrupt its existing connections without closing them:
 * bytes of the interrupted directions are discarded. New connections work normally.
 */
final class CuttableProxy {

  private final NetServer server;
  private final NetClient client;
  private final int target;
  private final List<Relay> relays = new CopyOnWriteArrayList<>();

  CuttableProxy(Vertx vertx, int target) {
    this.target = target;
    server = vertx.createNetServer().connectHandler(this::accept);
    client = vertx.createNetClient();
  }

  Future<Integer> start() {
    return server.listen(0, "127.0.0.1").map(NetServer::actualPort);
  }

  private void accept(NetSocket clientSocket) {
    clientSocket.pause();
    client
        .connect(target, "127.0.0.1")
        .onSuccess(serverSocket -> relays.add(new Relay(clientSocket, serverSocket)))
        .onFailure(failure -> clientSocket.close());
  }

  /** Starts to discard all bytes on the existing connections. */
  void cut() {
    relays.forEach(relay -> relay.cut(true, true));
  }

  /** Starts to discard the bytes that the connecting side sends on the existing connections. */
  void cutForward() {
    relays.forEach(relay -> relay.cut(true, false));
  }

  int connections() {
    return relays.size();
  }

  private static final class Relay {

    private volatile boolean forwardCut;
    private volatile boolean backwardCut;

    private Relay(NetSocket clientSocket, NetSocket serverSocket) {
      clientSocket.handler(bytes -> pass(bytes, serverSocket, forwardCut));
      serverSocket.handler(bytes -> pass(bytes, clientSocket, backwardCut));
      clientSocket.closeHandler(unused -> closeUnlessCut(serverSocket, forwardCut));
      serverSocket.closeHandler(unused -> closeUnlessCut(clientSocket, backwardCut));
      clientSocket.resume();
    }

    private static void pass(Buffer bytes, NetSocket receiver, boolean cut) {
      if (!cut) {
        receiver.write(bytes);
      }
    }

    private static void closeUnlessCut(NetSocket other, boolean cut) {
      if (!cut) {
        other.close();
      }
    }

    private void cut(boolean forward, boolean backward) {
      forwardCut = forward;
      backwardCut = backward;
    }
  }
}
