package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Promise;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.runtime.memory.BodyMemory;
import org.lentilhinge.runtime.memory.SlowCallers;

/**
 * The connection of a caller. Requests are handled one after the other, and each is read completely
 * before it is passed on.
 */
final class CallerConnection {

  /** The maximum number of pipelined requests; another request closes the connection. */
  private static final int MAXIMUM_PIPELINED = 16;

  /**
   * The time for which the rest of a refused body is read, in milliseconds: callers that are slower
   * lose the refusal to a reset.
   */
  private static final long DISCARD_MILLIS = 2_000;

  /** Stands in the log for the id of a request whose response was complete. */
  private static final String NO_ID = "-";

  private static final String DECODER = "requests";

  private final NetSocketInternal socket;
  private final CallerServer server;
  private final Deque<CallerExchange> pipelined = new ArrayDeque<>();
  private StrictRequestDecoder decoder;

  /** The limits that hold for a request that has begun, or for the next one. */
  private ForwardLimits limits;

  private Optional<HttpRequest> incomingRequest = Optional.empty();
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private BodyMemory.Share bodyShare;
  private Optional<CallerExchange> refused = Optional.empty();
  private Optional<CallerExchange> currentExchange = Optional.empty();
  private final ResponseMemory.Share unsent;
  private final SlowCallers.Output output;
  private long unsentBytes;

  /** Completes when the rest of a refused body was read, or is not read any further. */
  private final Promise<Void> discarded = Promise.promise();

  private boolean open = true;
  private boolean aborted;
  private boolean closing;
  private boolean rejecting;
  private boolean discarding;
  private long lastActivityAtMillis;
  private long discardUntilMillis;

  CallerConnection(NetSocket socket, CallerServer server, long nowMillis) {
    this.socket = (NetSocketInternal) socket;
    this.server = server;
    this.limits = server.limits();
    this.bodyShare = server.memory().requestBodies().open();
    this.unsent = server.memory().responses().open(this::currentId, () -> abort("memory-full"));
    this.output = server.memory().slowCallers().open(new Progress(), limits.idleTimeoutMillis());
    this.lastActivityAtMillis = nowMillis;
    this.decoder = new StrictRequestDecoder(limits.headerBytes());
    ChannelPipeline pipeline = this.socket.channelHandlerContext().pipeline();
    pipeline.addBefore("handler", DECODER, decoder);
    pipeline.addBefore("handler", "responses", new HttpResponseEncoder());
    this.socket.messageHandler(this::onMessage);
    this.socket.exceptionHandler(failure -> close());
    this.socket.closeHandler(unused -> onClosed());
    // Without this handler the shutdown of the server would close the connection immediately.
    this.socket.shutdownHandler(unused -> closeIfIdle());
  }

  boolean isOpen() {
    return open;
  }

  /** Applies changed limits, unless a request is being received, which keeps its limits. */
  void updateLimits() {
    ForwardLimits current = server.limits();
    boolean receiving = incomingRequest.isPresent() || !decoder.isBetweenRequests();
    if (!open || rejecting || receiving || current.equals(limits)) {
      return;
    }
    if (current.headerBytes() != limits.headerBytes()) {
      decoder = new StrictRequestDecoder(current.headerBytes());
      socket.channelHandlerContext().pipeline().replace(DECODER, DECODER, decoder);
    }
    limits = current;
    output.setStallMillis(limits.idleTimeoutMillis());
  }

  private String currentId() {
    return currentExchange
        .map(exchange -> server.memory().requestId(exchange.request()))
        .orElse(NO_ID);
  }

  private void onMessage(Object message) {
    try {
      if (rejecting || !open || !(message instanceof HttpObject part)) {
        if (discarding && message instanceof LastHttpContent) {
          onDiscarded();
        }
        return;
      }
      if (!part.decoderResult().isSuccess()) {
        boolean tooLong = part.decoderResult().cause() instanceof TooLongFrameException;
        reject(tooLong ? 431 : 400, "malformed HTTP request or request head too large");
        return;
      }
      lastActivityAtMillis = server.now();
      if (part instanceof HttpRequest request) {
        begin(request);
      }
      if (part instanceof HttpContent content && incomingRequest.isPresent()) {
        append(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void begin(HttpRequest request) {
    boolean ambiguous =
        request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
            && (request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || !HttpUtil.isTransferEncodingChunked(request));
    if (ambiguous || request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      // A request whose end can be read in two ways allows request smuggling.
      reject(400, "ambiguous request length or host");
    } else if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()) {
      reject(413, "request body too large");
    } else {
      incomingRequest = Optional.of(request);
      body = Unpooled.buffer();
      boolean expectsContinue = HttpUtil.is100ContinueExpected(request);
      if (!server.memory().requestBodies().hasRoom(HttpUtil.getContentLength(request, 0L))) {
        refuseBody(!expectsContinue);
      } else if (expectsContinue) {
        write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
      }
    }
  }

  private void append(HttpContent content) {
    if (body.readableBytes() + content.content().readableBytes() > limits.bodyBytes()) {
      reject(413, "request body too large");
      return;
    }
    if (!bodyShare.tryGrow(capacity(body.readableBytes() + content.content().readableBytes()))) {
      refuseBody(!(content instanceof LastHttpContent));
      return;
    }
    body.writeBytes(content.content());
    if (content instanceof LastHttpContent) {
      HttpRequest request = incomingRequest.orElseThrow();
      incomingRequest = Optional.empty();
      pipelined.add(new CallerExchange(this, request, body, bodyShare));
      bodyShare = server.memory().requestBodies().open();
      if (pipelined.size() > MAXIMUM_PIPELINED) {
        close();
      } else {
        startNext();
      }
    }
  }

  /** Returns the bytes that the buffer of the body takes with a length. */
  private int capacity(int length) {
    if (length == 0) {
      return 0;
    }
    return length <= body.capacity()
        ? body.capacity()
        : body.alloc().calculateNewCapacity(length, body.maxCapacity());
  }

  /**
   * Refuses the incoming request without its body, in its turn.
   *
   * @param incomplete whether the caller still sends the body
   */
  private void refuseBody(boolean incomplete) {
    rejecting = true;
    // The rest is read and dropped, as a reset would take the response from the caller.
    discarding = incomplete;
    bodyShare.release();
    body = Unpooled.EMPTY_BUFFER;
    CallerExchange exchange =
        new CallerExchange(this, incomingRequest.orElseThrow(), body, bodyShare);
    incomingRequest = Optional.empty();
    refused = Optional.of(exchange);
    pipelined.add(exchange);
    startNext();
  }

  private void startNext() {
    if (currentExchange.isEmpty() && !pipelined.isEmpty() && open) {
      CallerExchange next = pipelined.remove();
      currentExchange = Optional.of(next);
      boolean last = refused.filter(next::equals).isPresent();
      closing |= last || !HttpUtil.isKeepAlive(next.request());
      if (last) {
        server.refuseBody(next);
      } else {
        server.startRequest(next);
      }
    }
  }

  /** Handles that the rest of a refused body was read. */
  private void onDiscarded() {
    discarding = false;
    if (open && closing && currentExchange.isEmpty()) {
      closeAfterResponse();
    }
  }

  private void reject(int status, String reason) {
    rejecting = true;
    closing = true;
    CallerExchange rejected =
        new CallerExchange(
            this,
            incomingRequest.orElseGet(
                () -> new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")),
            Unpooled.EMPTY_BUFFER,
            bodyShare);
    if (currentExchange.isEmpty()) {
      currentExchange = Optional.of(rejected);
      server.onRequestRejected(status, reason);
      rejected.respond(status, Optional.empty(), reason);
    } else {
      close();
    }
  }

  /** Sets the connection header of a response: close if it is the last one on the connection. */
  void setConnectionHeader(HttpMessage response) {
    closing |= server.isStopping();
    if (closing) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else {
      response.headers().remove(HttpHeaderNames.CONNECTION);
    }
  }

  void write(Object message) {
    int bytes = message instanceof HttpContent part ? part.content().readableBytes() : 0;
    if (open) {
      recordUnsent(bytes);
      if (!open) {
        // These bytes made this connection the largest holder, so that it was closed.
        recordUnsent(-bytes);
      }
    }
    if (open) {
      socket.writeMessage(message).onComplete(result -> recordUnsent(-bytes));
    } else {
      ReferenceCountUtil.release(message);
    }
  }

  private void recordUnsent(int bytes) {
    unsentBytes += bytes;
    output.resize(unsentBytes, server.now());
    unsent.resize(unsentBytes);
  }

  /** Tells how far the caller accepts what was written. */
  private final class Progress implements SlowCallers.Connection {

    @Override
    public long progress() {
      ChannelOutboundBuffer buffer =
          socket.channelHandlerContext().channel().unsafe().outboundBuffer();
      return buffer == null ? 0 : buffer.currentProgress();
    }

    @Override
    public void onStalled() {
      if (!aborted) {
        server.memory().recordStalledCaller();
        abort("caller-stalled");
      }
    }
  }

  /** Closes the connection without waiting for the caller to accept what was written. */
  private void abort(String reason) {
    if (aborted) {
      return;
    }
    aborted = true;
    server.onResponseCut(reason);
    socket.channelHandlerContext().close();
    onClosed();
  }

  boolean isCongested() {
    return output.isCongested();
  }

  /** Runs a task once the caller has accepted enough; a later task replaces it. */
  void onUncongested(Runnable task) {
    output.onUncongested(task);
  }

  void onResponseFinished() {
    if (!open) {
      return;
    }
    lastActivityAtMillis = server.now();
    server.onRequestFinished();
    currentExchange = Optional.empty();
    updateLimits();
    if (closing && discarding) {
      discardUntilMillis = lastActivityAtMillis + DISCARD_MILLIS;
      server.onConnectionClosing(discarded.future());
    } else if (closing || server.isStopping()) {
      closeAfterResponse();
    } else {
      startNext();
    }
  }

  private void closeAfterResponse() {
    if (!open) {
      return;
    }
    open = false;
    discarded.tryComplete();
    releaseBodies();
    // The socket is closed after the data written before has been sent.
    server.onConnectionClosing(socket.close());
    server.onConnectionClosed(this);
  }

  /** Closes the connection if no request is in progress and no data has arrived for too long. */
  void closeIfExpired(long nowMillis) {
    if (discarding && currentExchange.isEmpty()) {
      if (nowMillis > discardUntilMillis) {
        closeAfterResponse();
      }
      return;
    }
    boolean readingRequest = incomingRequest.isPresent();
    long maximumIdleMillis =
        readingRequest
            ? limits.headerTimeoutMillis() + limits.idleTimeoutMillis()
            : limits.idleTimeoutMillis();
    if (currentExchange.isEmpty() && nowMillis - lastActivityAtMillis > maximumIdleMillis) {
      // The caller may not have accepted the last response yet.
      closeAfterResponse();
    }
  }

  /**
   * Closes the connection if no request is being received or in progress, once the caller has
   * accepted the last response. The rest of a refused body is still read.
   */
  void closeIfIdle() {
    if (!discarding && currentExchange.isEmpty() && incomingRequest.isEmpty()) {
      closeAfterResponse();
    }
  }

  boolean isIdle() {
    return currentExchange.isEmpty() && incomingRequest.isEmpty();
  }

  void close() {
    if (open) {
      socket.close();
      onClosed();
    }
  }

  /** Drops the bodies of requests that will not be started. */
  private void releaseBodies() {
    bodyShare.release();
    pipelined.forEach(CallerExchange::handleDisconnect);
    pipelined.clear();
  }

  private void onClosed() {
    if (!open) {
      return;
    }
    open = false;
    discarded.tryComplete();
    output.close();
    releaseBodies();
    server.onConnectionClosed(this);
    Optional<CallerExchange> aborted = currentExchange;
    currentExchange = Optional.empty();
    aborted.ifPresent(
        exchange -> {
          server.onRequestFinished();
          exchange.handleDisconnect();
        });
  }
}
