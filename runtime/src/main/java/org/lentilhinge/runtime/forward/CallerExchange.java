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
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/** One whole request of a caller, and the way to answer it. Exactly one answer is written. */
public final class CallerExchange {

  private final CallerConnection connection;
  private final HttpRequest request;
  private final ByteBuf body;
  private Optional<Runnable> gone = Optional.empty();
  private boolean begun;
  private boolean finished;

  CallerExchange(CallerConnection connection, HttpRequest request, ByteBuf body) {
    this.connection = connection;
    this.request = request;
    this.body = body;
  }

  /**
   * Gets the request's line and headers.
   *
   * @return the head
   */
  public HttpRequest request() {
    return request;
  }

  /** Gets the whole body. It stays readable for all attempts. */
  ByteBuf body() {
    return body;
  }

  /** Names what hears that the caller has left before its answer was whole. */
  void onGone(Runnable listener) {
    gone = Optional.of(listener);
    if (!connection.isOpen()) {
      callerGone();
    }
  }

  void callerGone() {
    if (!finished) {
      finished = true;
      gone.ifPresent(Runnable::run);
    }
  }

  boolean isBegun() {
    return begun;
  }

  boolean isFinished() {
    return finished;
  }

  /** Begins an answer whose body follows in parts. */
  void begin(HttpResponseStatus status, HttpHeaders headers) {
    if (finished) {
      return;
    }
    begun = true;
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    connection.markClosing(response);
    connection.write(response);
  }

  /** Writes a part of the body. */
  void write(ByteBuf part) {
    if (!finished) {
      connection.write(new DefaultHttpContent(part));
    }
  }

  /** Ends an answer that was begun, as whole. */
  void end() {
    if (!finished) {
      finished = true;
      connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
      connection.finished();
    }
  }

  /** Breaks an answer off so that it cannot look whole. */
  void abort() {
    if (!finished) {
      finished = true;
      connection.close();
    }
  }

  /** Answers at once with a whole body. */
  void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    if (finished) {
      return;
    }
    begun = true;
    finished = true;
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(headers);
    response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    connection.markClosing(response);
    connection.write(response);
    connection.write(new DefaultLastHttpContent(content));
    connection.finished();
  }

  /** Answers at once with a text of this host's own. */
  void answer(int status, Optional<Long> retryMillis, String text) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    retryMillis.ifPresent(
        millis ->
            headers.set(
                HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", millis / 1_000.0)));
    ByteBuf content = Unpooled.copiedBuffer(text + '\n', StandardCharsets.UTF_8);
    answer(HttpResponseStatus.valueOf(status), headers, content);
  }
}
