package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
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
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

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
  private final LongSupplier clock;
  private final ResponseMemory memory;

  ControlHttpClient(Vertx vertx, EndpointPool pool, LongSupplier clock, ResponseMemory memory) {
    this.memory = memory;
    this.vertx = vertx;
    this.pool = pool;
    this.clock = clock;
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
    return call(method, address, target, headers, body, timeoutMillis, () -> true);
  }

  /**
   * Makes a call that may become invalid while a connection is opened, for example because this
   * process is paused meanwhile.
   *
   * @param method the HTTP method
   * @param address the IP address and port
   * @param target the path and query
   * @param headers additional headers
   * @param body the body, which may be empty
   * @param timeoutMillis the maximum wait for the complete response, in milliseconds
   * @param mayBeSent is asked before the first byte is sent
   * @return the response; fails with a {@link NotSentException} if the call may not be made any
   *     more, or with another {@link IOException} if no response is received
   */
  public Future<ControlResponse> call(
      String method,
      String address,
      String target,
      Map<String, String> headers,
      Buffer body,
      long timeoutMillis,
      BooleanSupplier mayBeSent) {
    ResponseTimeout timeout = ResponseTimeout.ofTotal(timeoutMillis, clock.getAsLong());
    return call(method, address, target, headers, body, timeout, mayBeSent);
  }

  /**
   * Reads a response that may be long. The connection is closed once the response makes no
   * progress.
   *
   * @param address the IP address and port
   * @param target the path and query
   * @param silenceMillis the maximum wait for the first and for further bytes of the response, in
   *     milliseconds
   * @return the response; fails with an {@link IOException} if none is received
   */
  public Future<ControlResponse> read(String address, String target, long silenceMillis) {
    ResponseTimeout timeout = ResponseTimeout.ofSilence(silenceMillis, clock.getAsLong());
    return call("GET", address, target, Map.of(), Buffer.buffer(), timeout, () -> true);
  }

  private Future<ControlResponse> call(
      String method,
      String address,
      String target,
      Map<String, String> headers,
      Buffer body,
      ResponseTimeout timeout,
      BooleanSupplier mayBeSent) {
    HttpRequest request =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target);
    request.headers().set(HttpHeaderNames.HOST, address);
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
    headers.forEach((name, value) -> request.headers().set(name, value));
    Promise<ControlResponse> promise = Promise.promise();
    String description = method + ' ' + address + target;
    awaitProgress(timeout, description, promise);
    pool.acquire(address)
        .onFailure(
            failure -> promise.tryFail(new IOException(description + ": " + failure.getMessage())))
        .onSuccess(
            connection -> {
              promise.future().onFailure(failure -> connection.cancel());
              if (!mayBeSent.getAsBoolean()) {
                promise.tryFail(new NotSentException(description));
              } else if (!promise.future().isComplete()) {
                ByteBuf bytes = Unpooled.wrappedBuffer(body.getBytes());
                connection.send(
                    request,
                    bytes,
                    Optional.empty(),
                    new ResponseCollector(description, promise, timeout));
              }
            });
    return promise.future();
  }

  /** Fails the call once its response has made no progress for too long. */
  private void awaitProgress(
      ResponseTimeout timeout, String description, Promise<ControlResponse> promise) {
    long remainingMillis = timeout.remainingMillis(clock.getAsLong());
    if (remainingMillis <= 0) {
      promise.tryFail(new IOException(description + ": timed out waiting for response"));
      return;
    }
    long timer =
        vertx.setTimer(remainingMillis, id -> awaitProgress(timeout, description, promise));
    promise.future().onComplete(result -> vertx.cancelTimer(timer));
  }

  /** Collects a complete response. */
  private final class ResponseCollector implements ResponseHandler {

    private final String description;
    private final Promise<ControlResponse> promise;
    private final ResponseTimeout timeout;
    private final Buffer body = Buffer.buffer();
    private final ResponseMemory.Share held;
    private int status;
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;

    ResponseCollector(
        String description, Promise<ControlResponse> promise, ResponseTimeout timeout) {
      this.description = description;
      this.promise = promise;
      this.timeout = timeout;
      held = memory.open(() -> onFailure("responses to this host together are too long"));
      promise.future().onComplete(result -> held.release());
    }

    @Override
    public void onHead(HttpResponse response) {
      status = response.status().code();
      headers = response.headers();
      timeout.recordProgress(clock.getAsLong());
    }

    @Override
    public void onData(ByteBuf part) {
      timeout.recordProgress(clock.getAsLong());
      byte[] bytes = new byte[part.readableBytes()];
      part.getBytes(part.readerIndex(), bytes);
      if (body.length() + bytes.length > MAXIMUM_RESPONSE_BYTES) {
        onFailure("response is longer than " + MAXIMUM_RESPONSE_BYTES + " bytes");
      } else {
        body.appendBytes(bytes);
        held.resize(body.length());
      }
    }

    @Override
    public void onComplete() {
      promise.tryComplete(new ControlResponse(status, headers, body));
    }

    @Override
    public void onFailure(String reason) {
      promise.tryFail(new IOException(description + ": " + reason));
    }
  }
}
