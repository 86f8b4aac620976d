package org.lentilhinge.runtime.platform;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.atomic.AtomicReference;
import org.lentilhinge.runtime.engine.BoundedBody;

/**
 * Sends GET requests to one service of the platform, each on a connection of its own: responses do
 * not name the request to which they belong, so that on a connection that carried another request a
 * repeated response to that one could not be recognized. A request is reset when its subscription
 * is disposed of.
 */
final class HttpGetClient {

  /** The time allowed for the response in addition to the requested wait, in milliseconds. */
  private static final long RESPONSE_GRACE_MILLIS = 5_000;

  /** The maximum length of a body: several times the longest published text. */
  private static final int MAXIMUM_BODY_BYTES = 8_388_608;

  private final HttpClient client;
  private final String host;
  private final int port;

  /**
   * Creates a client of one service.
   *
   * @param client the HTTP client
   * @param address the IP address and port of the service
   */
  HttpGetClient(HttpClient client, String address) {
    int colon = address.lastIndexOf(':');
    this.client = client;
    this.host = address.substring(0, colon).replace("[", "").replace("]", "");
    this.port = Integer.parseInt(address.substring(colon + 1));
  }

  /**
   * Sends a request when subscribed to.
   *
   * @param path the path with its query
   * @param waitMillis how long the service may hold the request before it responds, in milliseconds
   * @return the response, or a {@link PlatformException}
   */
  Single<Response> send(String path, long waitMillis) {
    return Single.create(emitter -> send(path, waitMillis, emitter));
  }

  private void send(String path, long waitMillis, SingleEmitter<Response> emitter) {
    AtomicReference<HttpClientRequest> pending = new AtomicReference<>();
    emitter.setCancellable(() -> reset(pending.get()));
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(host)
            .setPort(port)
            .setURI(path)
            .putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE)
            .setTimeout(waitMillis + RESPONSE_GRACE_MILLIS);
    client
        .request(options)
        .compose(
            request -> {
              pending.set(request);
              return emitter.isDisposed()
                  ? Future.failedFuture("the request was cancelled")
                  // The body must be requested on the event loop, before the response can have
                  // ended.
                  : request.send().compose(HttpGetClient::readResponse);
            })
        .onComplete(result -> finish(path, result, emitter));
  }

  private static Future<Response> readResponse(HttpClientResponse response) {
    return BoundedBody.read(response, MAXIMUM_BODY_BYTES)
        .map(body -> new Response(response.statusCode(), response.getHeader("ETag"), body));
  }

  private void finish(String path, AsyncResult<Response> result, SingleEmitter<Response> emitter) {
    if (result.succeeded()) {
      emitter.onSuccess(result.result());
    } else {
      emitter.tryOnError(new PlatformException(describe(path), result.cause()));
    }
  }

  /** Returns a description of a request for error messages. */
  String describe(String path) {
    return "GET http://" + host + ":" + port + path;
  }

  private static void reset(HttpClientRequest request) {
    if (request != null) {
      request.reset();
    }
  }

  /**
   * A complete response.
   *
   * @param status the HTTP status
   * @param etag the ETag, or null
   * @param body the body
   */
  record Response(int status, String etag, Buffer body) {}
}
