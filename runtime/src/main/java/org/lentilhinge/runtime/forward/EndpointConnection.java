package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.forward.ResponseMatch;

/** A connection to an endpoint. Carries one request at a time. */
final class EndpointConnection {

  /** The failure of a response whose head, trailers or one of its lines are too long. */
  static final String HEAD_TOO_LONG = "head-too-long";

  /** The failure of a request before whose response others with too long bodies arrived. */
  static final String ENDLESS_RESPONSE = "endless-response";

  /** The failure of a request before whose response too many others arrived. */
  static final String ENDLESS_RESPONSES = "endless-responses";

  /** The failure of a response with too many bytes that are neither a body nor kept. */
  static final String ENDLESS_FRAMING = "endless-framing";

  /** The bytes of heads, chunk sizes and blank lines: as many as several heads may have. */
  private static final long MAXIMUM_FRAMING_BYTES = 1_048_576;

  /** The bytes of framing for each byte of a body; a chunk of one byte has six. */
  private static final int FRAMING_PER_BODY_BYTE = 16;

  /** The failure of a response whose status is not a number from 100 to 599 of three digits. */
  private static final String INVALID_STATUS = "invalid-status";

  private static final String NOT_HTTP = "not-http";
  private static final int MAXIMUM_HEADER_BYTES = 65_536;

  /**
   * The number of responses that may precede the response to the request in flight: interim ones
   * and late ones to earlier requests. An endpoint in trouble may send them without end.
   */
  private static final int MAXIMUM_SKIPPED_RESPONSES = 8;

  /** The length of the bodies of such responses together, in bytes. */
  private static final long MAXIMUM_SKIPPED_BYTES = 1_048_576;

  /** The number of requests on one connection, whose ids are kept. */
  private static final int MAXIMUM_USES = 1_024;

  private final NetSocketInternal socket;
  private final ResponseMatcher matcher;
  private final Listener listener;
  private final long openedAtMillis;
  private final EndpointResponseDecoder decoder;
  private final Set<Integer> carriedIdHashes = new HashSet<>();
  private Optional<ResponseHandler> handler = Optional.empty();
  private boolean skippingResponse;
  private int skippedResponses;
  private int foreignResponses;
  private int unnamedResponses;
  private long skippedBytes;
  private long receivedBytes;
  private long bodyBytes;
  private boolean readingResponse;
  private boolean selfDelimited;
  private boolean keepAlive;
  private Optional<String> requestId = Optional.empty();
  private Optional<ResponseMatch> match = Optional.empty();
  private boolean written;
  private boolean open = true;
  private boolean reset;
  private int uses;
  private Optional<Long> keepAliveSeconds = Optional.empty();

  /** Learns how a connection may be used further. */
  interface Listener {

    /** Handles that the connection is free for another request. */
    void onIdle(EndpointConnection connection);

    /**
     * Handles that the peer cannot be relied on to let responses be told apart: one that does not
     * name its request, although that has an id, or one too much where none names any.
     */
    void onUnreliablePeer();
  }

  /**
   * Creates a connection on a new socket.
   *
   * @param socket the socket
   * @param openedAtMillis the time at which the socket was opened, in milliseconds
   * @param matcher finds out to which requests responses belong
   * @param listener learns how the connection may be used further
   */
  EndpointConnection(
      NetSocket socket, long openedAtMillis, ResponseMatcher matcher, Listener listener) {
    this.socket = (NetSocketInternal) socket;
    this.openedAtMillis = openedAtMillis;
    this.matcher = matcher;
    this.listener = listener;
    HttpDecoderConfig decoderConfig =
        new HttpDecoderConfig()
            .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
            .setMaxInitialLineLength(MAXIMUM_HEADER_BYTES);
    decoder = new EndpointResponseDecoder(decoderConfig);
    ChannelPipeline pipeline = this.socket.channelHandlerContext().pipeline();
    pipeline.addBefore("handler", "idle", new IdleReadHandler());
    pipeline.addBefore("handler", "responses", decoder);
    pipeline.addBefore("handler", "requests", new HttpRequestEncoder());
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

  /** Closes the connection if bytes arrive while no request is in flight, even a part of a head. */
  private final class IdleReadHandler extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (handler.isEmpty()) {
        recordSurplus();
        close();
      }
      receivedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
      context.fireChannelRead(message);
      long framingBytes = receivedBytes - bodyBytes;
      if (framingBytes > MAXIMUM_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * bodyBytes) {
        fail(ENDLESS_FRAMING);
      }
    }
  }

  /** Records bytes beyond the responses that were expected. */
  private void recordSurplus() {
    if (open && match.filter(found -> found == ResponseMatch.ORDERED).isPresent()) {
      listener.onUnreliablePeer();
    }
  }

  /**
   * Indicates whether a response to a request with an id could be told from late ones to the
   * requests that the connection has carried.
   */
  boolean mayCarry(String id) {
    return !carriedIdHashes.contains(id.hashCode());
  }

  /** Returns the keep-alive timeout that the endpoint sent for this connection, in seconds. */
  Optional<Long> keepAliveSeconds() {
    return keepAliveSeconds;
  }

  /** Returns the course of the latest use of the connection until a time in milliseconds. */
  ConnectionUse use(long nowMillis) {
    return new ConnectionUse(
        uses, nowMillis - openedAtMillis, match, foreignResponses, unnamedResponses);
  }

  /**
   * Sends a request.
   *
   * @param id the id that the response names; a request without one needs a new connection
   * @param responseHandler receives the response
   */
  void send(HttpRequest head, ByteBuf body, Optional<String> id, ResponseHandler responseHandler) {
    handler = Optional.of(responseHandler);
    requestId = id;
    id.ifPresent(carried -> carriedIdHashes.add(carried.hashCode()));
    decoder.expectResponse(head);
    uses++;
    written = false;
    skippedResponses = 0;
    skippedBytes = 0;
    receivedBytes = 0;
    bodyBytes = 0;
    foreignResponses = 0;
    unnamedResponses = 0;
    match = Optional.empty();
    socket.writeMessage(head);
    socket
        .writeMessage(new DefaultLastHttpContent(body))
        .onComplete(
            result -> {
              written = result.succeeded();
              if (result.failed()) {
                fail("write-failed");
              } else {
                responseHandler.onWritten();
              }
            });
  }

  private void onMessage(Object message) {
    try {
      if (!(message instanceof HttpObject part)) {
        fail(NOT_HTTP);
      } else if (!part.decoderResult().isSuccess()) {
        fail(decodingFailure(part.decoderResult().cause()));
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

  private static String decodingFailure(Throwable cause) {
    if (cause instanceof EndpointResponseDecoder.InvalidStatusException) {
      return INVALID_STATUS;
    }
    return cause instanceof TooLongFrameException ? HEAD_TOO_LONG : NOT_HTTP;
  }

  private void onPart(HttpObject part) {
    if (part instanceof HttpResponse response) {
      begin(response);
    }
    if (part instanceof HttpContent content && (readingResponse || skippingResponse)) {
      boolean last = part instanceof LastHttpContent;
      bodyBytes += content.content().readableBytes();
      if (skippingResponse) {
        skippingResponse = !last;
        skippedBytes += content.content().readableBytes();
        if (skippedBytes > MAXIMUM_SKIPPED_BYTES) {
          fail(ENDLESS_RESPONSE);
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
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skip();
      return;
    }
    ResponseMatch found = match(response);
    if (!found.isMatch()) {
      skip();
      if (matcher.mayBeFinal(response, found)) {
        fail("no-own-response");
      }
      return;
    }
    match = Optional.of(found);
    readingResponse = true;
    selfDelimited =
        HttpUtil.isTransferEncodingChunked(response)
            || HttpUtil.isContentLengthSet(response)
            || response.status().code() == 204
            || response.status().code() == 304;
    keepAlive = HttpUtil.isKeepAlive(response) && matcher.mayReuse(response, found);
    keepAliveSeconds = KeepAliveHeader.seconds(response.headers());
    handler.ifPresent(current -> current.onHead(response));
  }

  /** Skips a response, the beginning of which was received. */
  private void skip() {
    skippingResponse = true;
    skippedResponses++;
    if (skippedResponses > MAXIMUM_SKIPPED_RESPONSES) {
      fail(ENDLESS_RESPONSES);
    }
  }

  /** Finds out whether a response belongs to the request in flight, and counts it if not. */
  private ResponseMatch match(HttpResponse response) {
    boolean exclusive = uses == 1 && isUndisturbed();
    ResponseMatch found = matcher.match(response, requestId, exclusive);
    if (found == ResponseMatch.UNKNOWN) {
      unnamedResponses++;
    } else if (found == ResponseMatch.OTHER) {
      foreignResponses++;
    }
    return found;
  }

  /** Indicates whether all responses during this use belong to the request in flight. */
  private boolean isUndisturbed() {
    return foreignResponses == 0 && unnamedResponses == 0;
  }

  private void end() {
    if (reset) {
      fail("reset");
      return;
    }
    if (decoder.hasUnreadBytes() && match.filter(ResponseMatch.ORDERED::equals).isPresent()) {
      // Either of two responses may be the one to the request.
      recordSurplus();
      fail("surplus-response");
      return;
    }
    readingResponse = false;
    resume();
    Optional<ResponseHandler> completedHandler = handler;
    handler = Optional.empty();
    // Endpoints that have sent a response too much may send more of them.
    boolean clean = isUndisturbed() && !decoder.hasUnreadBytes();
    boolean reusable =
        selfDelimited && keepAlive && clean && written && open && uses < MAXIMUM_USES;
    recordUnnamed();
    if (!reusable) {
      close();
    }
    completedHandler.ifPresent(ResponseHandler::onComplete);
    if (reusable && open) {
      listener.onIdle(this);
    }
  }

  /** Records a use that ends without a response that names its request, although it has an id. */
  private void recordUnnamed() {
    boolean unnamed =
        unnamedResponses > 0 && match.isEmpty()
            || match.filter(ResponseMatch.EXCLUSIVE::equals).isPresent();
    if (unnamed && requestId.isPresent()) {
      listener.onUnreliablePeer();
    }
  }

  private void fail(String reason) {
    Optional<ResponseHandler> failedHandler = handler;
    if (failedHandler.isPresent()) {
      recordUnnamed();
    }
    handler = Optional.empty();
    close();
    failedHandler.ifPresent(current -> current.onFailure(reason));
  }

  private void onClosed() {
    open = false;
    fail(reset ? "reset" : "closed");
  }

  /**
   * Stops reading until {@link #resume} or the end of the response, so that the endpoint cannot
   * send more than its caller accepts. The end of the connection is not noticed meanwhile.
   */
  void pause() {
    setReading(false);
  }

  /** Continues to read. */
  void resume() {
    setReading(true);
  }

  private void setReading(boolean reading) {
    // A pause of the socket would let its end overtake the bytes that were received before.
    socket.channelHandlerContext().channel().config().setAutoRead(reading);
  }

  /** Closes the connection without notifying the handler of a request in flight. */
  void cancel() {
    if (handler.isPresent()) {
      recordUnnamed();
    }
    handler = Optional.empty();
    close();
  }

  void close() {
    if (open) {
      open = false;
      // A close of the socket waits until the request is written, which its peer may never read.
      socket.channelHandlerContext().close();
    }
  }
}
