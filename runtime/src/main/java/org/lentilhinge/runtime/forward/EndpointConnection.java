package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.Optional;
import java.util.function.Consumer;

/** A connection to an endpoint. Carries one request at a time. */
final class EndpointConnection {

  private static final int MAXIMUM_HEADER_BYTES = 65_536;

  /**
   * The number of responses that may precede the response to the request in flight: interim ones
   * and late ones to earlier requests. An endpoint in trouble may send them without end.
   */
  private static final int MAXIMUM_SKIPPED_RESPONSES = 8;

  /** The length of the bodies of such responses together, in bytes. */
  private static final long MAXIMUM_SKIPPED_BYTES = 1_048_576;

  private final NetSocketInternal socket;
  private final Consumer<EndpointConnection> idleListener;
  private final long openedAtMillis;
  private Optional<ResponseHandler> handler = Optional.empty();
  private boolean skippingResponse;
  private int skippedResponses;
  private int foreignResponses;
  private long skippedBytes;
  private boolean readingResponse;
  private boolean selfDelimited;
  private boolean keepAlive;
  private boolean identified;
  private boolean written;
  private boolean open = true;
  private boolean reset;
  private int uses;
  private Optional<Long> keepAliveSeconds = Optional.empty();

  /**
   * Creates a connection on a new socket.
   *
   * @param socket the socket
   * @param openedAtMillis the time at which the socket was opened, in milliseconds
   * @param idleListener called when the connection is free for another request
   */
  EndpointConnection(
      NetSocket socket, long openedAtMillis, Consumer<EndpointConnection> idleListener) {
    this.socket = (NetSocketInternal) socket;
    this.openedAtMillis = openedAtMillis;
    this.idleListener = idleListener;
    HttpDecoderConfig decoderConfig =
        new HttpDecoderConfig()
            .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
            .setMaxInitialLineLength(MAXIMUM_HEADER_BYTES);
    ChannelPipeline pipeline = this.socket.channelHandlerContext().pipeline();
    pipeline.addBefore("handler", "http", new HttpClientCodec(decoderConfig, false, false));
    this.socket.messageHandler(this::onMessage);
    this.socket.exceptionHandler(
        failure -> {
          // A reset must not be taken for the end of a response without a length.
          reset = true;
          close();
        });
    this.socket.closeHandler(unused -> onClosed());
  }

  boolean isOpen() {
    return open;
  }

  /** Indicates whether the connection has already carried a request. */
  boolean isUsed() {
    return uses > 0;
  }

  /** Returns the keep-alive timeout that the endpoint sent for this connection, in seconds. */
  Optional<Long> keepAliveSeconds() {
    return keepAliveSeconds;
  }

  /** Returns the course of the latest use of the connection until a time in milliseconds. */
  ConnectionUse use(long nowMillis) {
    return new ConnectionUse(uses, nowMillis - openedAtMillis, identified, foreignResponses);
  }

  void send(HttpRequest head, ByteBuf body, ResponseHandler responseHandler) {
    handler = Optional.of(responseHandler);
    uses++;
    written = false;
    skippedResponses = 0;
    skippedBytes = 0;
    foreignResponses = 0;
    identified = false;
    socket.writeMessage(head);
    socket
        .writeMessage(new DefaultLastHttpContent(body))
        .onComplete(
            result -> {
              written = result.succeeded();
              if (result.failed()) {
                fail("write-failed");
              }
            });
  }

  private void onMessage(Object message) {
    try {
      if (!(message instanceof HttpObject part) || !part.decoderResult().isSuccess()) {
        fail("not-http");
      } else if (handler.isEmpty()) {
        // No request is in flight: these bytes could be taken for the response to the next request.
        close();
      } else {
        onPart(part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onPart(HttpObject part) {
    if (part instanceof HttpResponse response) {
      begin(response);
    }
    if (part instanceof HttpContent content && (readingResponse || skippingResponse)) {
      boolean last = part instanceof LastHttpContent;
      if (skippingResponse) {
        skippingResponse = !last;
        skippedBytes += content.content().readableBytes();
        if (skippedBytes > MAXIMUM_SKIPPED_BYTES) {
          fail("endless-response");
        }
        return;
      }
      if (content.content().isReadable()) {
        handler.ifPresent(current -> current.onData(content.content()));
      }
      if (last) {
        end();
      }
    }
  }

  private void begin(HttpResponse response) {
    boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (informational || !handler.orElseThrow().matches(response)) {
      skippingResponse = true;
      skippedResponses++;
      foreignResponses += informational ? 0 : 1;
      if (skippedResponses > MAXIMUM_SKIPPED_RESPONSES) {
        fail("endless-responses");
      }
      return;
    }
    readingResponse = true;
    selfDelimited =
        HttpUtil.isTransferEncodingChunked(response)
            || HttpUtil.isContentLengthSet(response)
            || response.status().code() == 204
            || response.status().code() == 304;
    keepAlive = HttpUtil.isKeepAlive(response);
    identified = handler.orElseThrow().isIdentified(response);
    keepAliveSeconds = KeepAliveHeader.seconds(response.headers());
    handler.ifPresent(current -> current.onHead(response));
  }

  private void end() {
    if (reset) {
      fail("reset");
      return;
    }
    readingResponse = false;
    Optional<ResponseHandler> completedHandler = handler;
    handler = Optional.empty();
    boolean reusable = selfDelimited && keepAlive && identified && written && open;
    if (!reusable) {
      close();
    }
    completedHandler.ifPresent(ResponseHandler::onComplete);
    if (reusable && open) {
      idleListener.accept(this);
    }
  }

  private void fail(String reason) {
    Optional<ResponseHandler> failedHandler = handler;
    handler = Optional.empty();
    close();
    failedHandler.ifPresent(current -> current.onFailure(reason));
  }

  private void onClosed() {
    open = false;
    fail(reset ? "reset" : "closed");
  }

  /** Closes the connection without notifying the handler of a request in flight. */
  void cancel() {
    handler = Optional.empty();
    close();
  }

  void close() {
    if (open) {
      open = false;
      socket.close();
    }
  }
}
