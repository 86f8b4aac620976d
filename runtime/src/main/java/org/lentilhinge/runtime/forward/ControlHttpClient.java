package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Map;

/**
 * Makes the host's own HTTP calls to endpoints and to the store. Each call has a timeout and is not
 * retried.
 */
public final class ControlHttpClient {

  /**
   * The maximum length of a response, in bytes: several times the longest page of the store. An
   * endpoint in trouble may send bytes without end.
   */
  private static final int MAXIMUM_RESPONSE_BYTES = 8_388_608;

  private final Vertx vertx;
  private final EndpointPool pool;

  ControlHttpClient(Vertx vertx, EndpointPool pool) {
    this.vertx = vertx;
    this.pool = pool;
  }

  /**
   * Makes a call. The connection is closed if no complete response is received before the timeout.
   *
   * @param method the HTTP method
   * @param address the IP address and port
   * @param target the path and query
   * @param headers additional headers
   * @param body the body, which may be empty
   * @param timeoutMillis the maximum wait for the complete response, in milliseconds
   * @return the response; fails with an {@link IOException} if none is received
   */
  public Future<ControlResponse> call(
      String method,
      String address,
      String target,
      Map<String, String> headers,
      Buffer body,
      long timeoutMillis) {
    HttpRequest request =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target);
    request.headers().set(HttpHeaderNames.HOST, address);
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
    headers.forEach((name, value) -> request.headers().set(name, value));
    Promise<ControlResponse> promise = Promise.promise();
    String description = method + ' ' + address + target;
    long timer =
        vertx.setTimer(
            timeoutMillis,
            id ->
                promise.tryFail(new IOException(description + ": timed out waiting for response")));
    promise.future().onComplete(result -> vertx.cancelTimer(timer));
    pool.acquire(address)
        .onFailure(
            failure -> promise.tryFail(new IOException(description + ": " + failure.getMessage())))
        .onSuccess(
            connection -> {
              promise.future().onFailure(failure -> connection.cancel());
              if (!promise.future().isComplete()) {
                ByteBuf bytes = Unpooled.wrappedBuffer(body.getBytes());
                connection.send(request, bytes, new ResponseCollector(description, promise));
              }
            });
    return promise.future();
  }

  /** Collects a complete response. */
  private static final class ResponseCollector implements ResponseHandler {

    private final String description;
    private final Promise<ControlResponse> promise;
    private final Buffer body = Buffer.buffer();
    private int status;

    ResponseCollector(String description, Promise<ControlResponse> promise) {
      this.description = description;
      this.promise = promise;
    }

    @Override
    public boolean matches(HttpResponse response) {
      return true;
    }

    @Override
    public void onHead(HttpResponse response) {
      status = response.status().code();
    }

    @Override
    public void onData(ByteBuf part) {
      byte[] bytes = new byte[part.readableBytes()];
      part.getBytes(part.readerIndex(), bytes);
      if (body.length() + bytes.length > MAXIMUM_RESPONSE_BYTES) {
        onFailure("response is longer than " + MAXIMUM_RESPONSE_BYTES + " bytes");
      } else {
        body.appendBytes(bytes);
      }
    }

    @Override
    public void onComplete() {
      promise.tryComplete(new ControlResponse(status, body));
    }

    @Override
    public void onFailure(String reason) {
      promise.tryFail(new IOException(description + ": " + reason));
    }
  }
}
