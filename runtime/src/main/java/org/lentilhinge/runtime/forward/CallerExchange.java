package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import org.lentilhinge.runtime.memory.BodyMemory;

/** A complete request of a caller and its response. At most one response is written. */
public final class CallerExchange {

  private final CallerConnection connection;
  private final HttpRequest request;
  private final ByteBuf body;
  private final BodyMemory.Share bodyShare;
  private Optional<Runnable> disconnectListener = Optional.empty();
  private boolean responseStarted;
  private boolean finished;

  CallerExchange(
      CallerConnection connection, HttpRequest request, ByteBuf body, BodyMemory.Share bodyShare) {
    this.bodyShare = bodyShare;
    this.connection = connection;
    this.request = request;
    this.body = body;
  }

  /**
   * Returns the request line and the headers of the request.
   *
   * @return the request without its body
   */
  public HttpRequest request() {
    return request;
  }

  /** Returns the complete body of the request, which stays readable for all attempts. */
  ByteBuf body() {
    return body;
  }

  /** Sets the listener that runs if the caller disconnects before the response is complete. */
  void setDisconnectListener(Runnable listener) {
    disconnectListener = Optional.of(listener);
    if (!connection.isOpen()) {
      handleDisconnect();
    }
  }

  void handleDisconnect() {
    if (!finished) {
      finish();
      disconnectListener.ifPresent(Runnable::run);
    }
  }

  /** Records that no attempt uses the body any more. */
  private void finish() {
    finished = true;
    bodyShare.release();
  }

  /** Indicates whether another host sent the request in place of a caller. */
  boolean isRelayed() {
    return request.headers().contains(HostRelay.HEADER);
  }

  boolean isResponseStarted() {
    return responseStarted;
  }

  boolean isFinished() {
    return finished;
  }

  /** Begins a response whose body is written in parts. A second response aborts the first one. */
  void begin(HttpResponseStatus status, HttpHeaders headers) {
    if (isRefused()) {
      return;
    }
    responseStarted = true;
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    connection.setConnectionHeader(response);
    connection.write(response);
  }

  /** Writes a part of the body. */
  void write(ByteBuf part) {
    if (!finished) {
      connection.write(new DefaultHttpContent(part));
    }
  }

  /** Indicates whether the caller has not accepted much of what was written. */
  boolean isCongested() {
    return connection.isCongested();
  }

  /** Runs a task once the caller has accepted most of what was written. */
  void onUncongested(Runnable task) {
    connection.onUncongested(task);
  }

  /** Completes a response that has begun. */
  void end() {
    if (!finished) {
      finish();
      connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
      connection.onResponseFinished();
    }
  }

  /** Aborts a response by closing the connection, so that it cannot be taken for complete. */
  void abort() {
    if (!finished) {
      finish();
      connection.close();
    }
  }

  /** Indicates whether a response must not be written; aborts one that has begun. */
  private boolean isRefused() {
    if (responseStarted) {
      abort();
    }
    return finished;
  }

  /** Writes a response with a complete body. A second response aborts the first one. */
  void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    if (isRefused()) {
      return;
    }
    responseStarted = true;
    finish();
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    boolean head = request.method().equals(HttpMethod.HEAD);
    if (!head || !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    }
    connection.setConnectionHeader(response);
    connection.write(response);
    // The body of a response to HEAD would be read as the next response.
    connection.write(
        head ? LastHttpContent.EMPTY_LAST_CONTENT : new DefaultLastHttpContent(content));
    connection.onResponseFinished();
  }

  /** Writes a response generated by this host, with a plain-text body. */
  void respond(int status, Optional<Long> retryAfterMillis, String text) {
    respond(status, new DefaultHttpHeaders(), retryAfterMillis, text);
  }

  /**
   * Refuses a request that this host cannot serve now, although others may. It has not been
   * executed.
   */
  void refuseForNow(long retryAfterMillis, String text) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (isRelayed()) {
      headers.set(HostRelay.UNAVAILABLE_HEADER, 1);
    }
    respond(503, headers, Optional.of(retryAfterMillis), text);
  }

  private void respond(
      int status, HttpHeaders headers, Optional<Long> retryAfterMillis, String text) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    retryAfterMillis.ifPresent(
        delayMillis ->
            headers.set(
                HttpHeaderNames.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", delayMillis / 1_000.0)));
    ByteBuf content = Unpooled.copiedBuffer(text + '\n', StandardCharsets.UTF_8);
    respond(HttpResponseStatus.valueOf(status), headers, content);
  }
}
