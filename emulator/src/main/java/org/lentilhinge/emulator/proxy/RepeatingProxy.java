package org.lentilhinge.emulator.proxy;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.rxjava3.CompletableHelper;
import io.vertx.rxjava3.SingleHelper;

/**
 * Makes an HTTP/1.1 server on a loopback port repeat its responses: when a further request arrives
 * on a connection, the response to the former one is sent once more before the one to the new
 * request.
 */
public final class RepeatingProxy {

  private static final String LOOPBACK = "127.0.0.1";

  private final RepeatedResponse form;
  private final String requestIdHeader;
  private final NetServer server;
  private final NetClient client;

  /**
   * Creates a proxy that does not listen yet.
   *
   * @param vertx the Vert.x instance that runs the proxy
   * @param form the form of the repeated responses
   * @param requestIdHeader the name of the header that names requests
   */
  public RepeatingProxy(Vertx vertx, RepeatedResponse form, String requestIdHeader) {
    this.form = form;
    this.requestIdHeader = requestIdHeader;
    this.server = vertx.createNetServer();
    this.client = vertx.createNetClient();
  }

  /**
   * Starts listening on any free port.
   *
   * @param serverPort the port of the server
   * @return the port of the proxy
   */
  public Single<Integer> start(int serverPort) {
    return SingleHelper.toSingle(
        handler ->
            server
                .connectHandler(socket -> connect(socket, serverPort))
                .listen(0, LOOPBACK)
                .map(NetServer::actualPort)
                .onComplete(handler));
  }

  /**
   * Closes the port and all connections.
   *
   * @return a Completable that completes when the connections are closed
   */
  public Completable stop() {
    return CompletableHelper.toCompletable(
        handler -> server.close().eventually(client::close).onComplete(handler));
  }

  private void connect(NetSocket callerSocket, int serverPort) {
    callerSocket.pause();
    client
        .connect(serverPort, LOOPBACK)
        .onSuccess(
            serverSocket ->
                new RepeatingConnection(callerSocket, serverSocket, form, requestIdHeader).start())
        .onFailure(cause -> callerSocket.close());
  }
}
