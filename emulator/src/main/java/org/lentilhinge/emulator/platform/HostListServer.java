package org.lentilhinge.emulator.platform;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.rxjava3.CompletableHelper;
import io.vertx.rxjava3.SingleHelper;
import java.util.List;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.runtime.platform.HostListing;
import org.lentilhinge.runtime.platform.ListedEndpoint;

/**
 * Emulates the platform's list of live and leaving hosts, which changes only through {@link
 * #setListing}.
 */
public final class HostListServer {

  private static final int UNAVAILABLE = 503;
  private static final String LOOPBACK = "127.0.0.1";

  private final Vertx vertx;
  private HttpServer server;
  private volatile HostListing listing = new HostListing(List.of(), List.of());
  private volatile boolean unavailable;

  /**
   * Creates a server with an empty list that does not listen yet.
   *
   * @param vertx the Vert.x instance that runs the server
   */
  public HostListServer(Vertx vertx) {
    this.vertx = vertx;
  }

  /**
   * Starts listening on a loopback address.
   *
   * @param port the port, or 0 for any free port
   * @return the port
   */
  public Single<Integer> start(int port) {
    server = vertx.createHttpServer().requestHandler(this::handle);
    return SingleHelper.<HttpServer>toSingle(
            handler -> server.listen(port, LOOPBACK).onComplete(handler))
        .map(HttpServer::actualPort);
  }

  /**
   * Stops the server.
   *
   * @return a Completable that completes when the server has stopped listening
   */
  public Completable stop() {
    return CompletableHelper.toCompletable(handler -> server.close().onComplete(handler));
  }

  /**
   * Replaces the list. The list may differ from the hosts that run, as the platform's list may lag.
   *
   * @param newListing the new list
   */
  public void setListing(HostListing newListing) {
    listing = newListing;
  }

  /**
   * Starts or ends an outage.
   *
   * @param isDown whether the service answers 503 to each call
   */
  public void setUnavailable(boolean isDown) {
    unavailable = isDown;
  }

  private void handle(HttpServerRequest request) {
    if (unavailable) {
      request.response().setStatusCode(UNAVAILABLE).end();
      return;
    }
    JsonArray array = new JsonArray();
    listing.hosts().forEach(host -> array.add(toJson(host)));
    listing.endpoints().forEach(endpoint -> array.add(toJson(endpoint)));
    request.response().putHeader("Content-Type", "application/json").end(array.toBuffer());
  }

  private static JsonObject toJson(ListedHost host) {
    return new JsonObject()
        .put("name", host.host().value())
        .put("role", "entry-host")
        .put("zone", host.zone().value())
        .put("address", host.address())
        .put("leaving", host.leaving());
  }

  private static JsonObject toJson(ListedEndpoint endpoint) {
    return new JsonObject()
        .put("name", endpoint.id().value())
        .put("role", "endpoint")
        .put("leaving", endpoint.leaving());
  }
}
