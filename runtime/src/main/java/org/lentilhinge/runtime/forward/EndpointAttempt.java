package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.AsyncResult;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.forward.AttemptOutcome;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.RequestKind;

/**
 * One attempt of a request at one target. The events of a stream are passed to the caller as soon
 * as each is complete; any other response is passed on when it is complete.
 */
final class EndpointAttempt implements ResponseHandler {

  /**
   * The statuses that assure a caller that the request was not executed. They are passed on only if
   * the endpoint marks the request as not executed.
   */
  private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

  /** The number of groups of events after which a response is known to go on. */
  private static final int PROCEEDING_EVENT_GROUPS = 2;

  /** The failures after which the endpoint may have crashed. */
  static final Set<String> CONNECTION_ENDED = Set.of("closed", "reset", "write-failed");

  private static final String BODY_TOO_LONG = "body-too-long";
  private static final String EVENT_TOO_LONG = "event-too-long";

  /** The failure of the longest response if those to this host together are too long. */
  private static final String MEMORY_FULL = "memory-full";

  /** The bytes of memory that a header takes in addition to its name and value. */
  private static final int HEADER_OVERHEAD_BYTES = 128;

  /** The failures of responses that this host gave up because they exceeded a bound. */
  private static final Set<String> OVERSIZED =
      Set.of(
          BODY_TOO_LONG,
          EVENT_TOO_LONG,
          MEMORY_FULL,
          EndpointConnection.HEAD_TOO_LONG,
          EndpointConnection.ENDLESS_FRAMING,
          EndpointConnection.ENDLESS_RESPONSE,
          EndpointConnection.ENDLESS_RESPONSES);

  static final String NO_CONNECTION = "no-connection";
  static final String CANCELLED = "cancelled";

  private static final String UNKNOWN_DIGEST = "";
  private static final String EVENT_STREAM = "text/event-stream";

  /**
   * The maximum length of a body that is not streamed, in bytes. An endpoint in trouble may send
   * bytes without end, and a host has 128 MB for all requests.
   */
  private static final int MAXIMUM_BODY_BYTES = 4_194_304;

  private final Forwarder forwarder;
  private final ForwardedRequest request;
  private final CallerExchange exchange;
  private final ForwardRoute route;
  private final AttemptTarget target;
  private final long startedAtMillis;
  private final ByteBuf body = Unpooled.buffer();
  private final EventStream events = new EventStream();
  private final ResponseMemory.Share held;
  private int headBytes;
  private Optional<EndpointConnection> connection = Optional.empty();
  private Optional<HttpResponse> response = Optional.empty();
  private Optional<ResponseMetadata> responseMetadata = Optional.empty();
  private boolean sent;
  private boolean streaming;
  private boolean unreachable;
  private boolean finished;
  private long firstEventMillis;
  private int eventGroups;
  private boolean brokenOff;
  private boolean connectionEnded;
  private long lastEventMillis;
  private long longestPauseMillis;

  EndpointAttempt(
      Forwarder forwarder,
      ForwardedRequest request,
      CallerExchange exchange,
      ForwardRoute route,
      AttemptTarget target) {
    this.forwarder = forwarder;
    this.request = request;
    this.exchange = exchange;
    this.route = route;
    this.target = target;
    this.startedAtMillis = forwarder.context().now();
    this.held =
        forwarder
            .responseMemory()
            .open(() -> request.requestId().orElse("-"), () -> fail(MEMORY_FULL));
  }

  AttemptTarget target() {
    return target;
  }

  /** Indicates whether the attempt ended because no connection could be opened. */
  boolean isUnreachable() {
    return unreachable;
  }

  boolean isSent() {
    return sent;
  }

  /** Returns the time from the start to the first event, in milliseconds; 0 if none arrived. */
  long firstEventMillis() {
    return firstEventMillis;
  }

  int status() {
    return response.map(httpResponse -> httpResponse.status().code()).orElse(0);
  }

  /** Returns the metadata of the response; empty if there is no response. */
  Optional<ResponseMetadata> responseMetadata() {
    return responseMetadata;
  }

  /** Returns how the connection was used. */
  ConnectionUse connectionUse() {
    return connection
        .map(current -> current.use(forwarder.context().now()))
        .orElse(ConnectionUse.NONE);
  }

  long elapsedMillis() {
    return forwarder.context().now() - startedAtMillis;
  }

  void start() {
    HttpRequest head = requestHead();
    Optional<String> requestId = sentId(head);
    // The end of the response to a HEAD request cannot be found behind another response.
    Optional<String> recognizedId = requestId.filter(id -> !head.method().equals(HttpMethod.HEAD));
    target.connect(recognizedId).onComplete(result -> onConnected(result, head, requestId));
  }

  /** Returns the id that the response must name; empty if the request has no single one. */
  private Optional<String> sentId(HttpRequest head) {
    List<String> ids = forwarder.headerTranslator().requestIds(head.headers());
    return ids.size() == 1 && !ids.get(0).isBlank() ? Optional.of(ids.get(0)) : Optional.empty();
  }

  private void onConnected(
      AsyncResult<EndpointConnection> result, HttpRequest head, Optional<String> requestId) {
    Optional<String> obstacle = finished ? Optional.empty() : target.obstacle();
    if (finished) {
      if (result.succeeded()) {
        result.result().close();
      }
    } else if (result.failed()) {
      end(AttemptOutcome.NOT_SENT, NO_CONNECTION);
    } else if (obstacle.isPresent()) {
      result.result().close();
      end(AttemptOutcome.NOT_SENT, obstacle.get());
    } else if (request.quarantine().isRefused()) {
      result.result().close();
      end(AttemptOutcome.NOT_SENT, "quarantined");
    } else {
      connection = Optional.of(result.result());
      sent = true;
      target.recordSent();
      result.result().send(head, exchange.body().retainedDuplicate(), requestId, this);
    }
  }

  private HttpRequest requestHead() {
    HttpRequest callerRequest = exchange.request();
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(callerRequest.headers());
    HopByHopHeaders.remove(headers);
    target.prepare(headers);
    if (exchange.body().isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, exchange.body().readableBytes());
    }
    return new DefaultHttpRequest(
        HttpVersion.HTTP_1_1, callerRequest.method(), callerRequest.uri(), headers);
  }

  /** Cancels the attempt. The endpoint drops a request whose connection is closed. */
  void cancel() {
    if (!finished) {
      finished = true;
      held.release();
      target.recordEnd(AttemptOutcome.UNKNOWN, CANCELLED, status());
      recordConnectionUse();
      if (sent) {
        new RequestLog(forwarder.context().log(), request.requestId())
            .writeAttempt(
                this, AttemptOutcome.UNKNOWN, CANCELLED, request.quarantine().sharedParts());
      }
      connection.ifPresent(EndpointConnection::cancel);
    }
  }

  @Override
  public void onWritten() {
    if (!finished) {
      target.recordWritten();
    }
  }

  @Override
  public void onHead(HttpResponse httpResponse) {
    response = Optional.of(httpResponse);
    boolean success = httpResponse.status().codeClass() == HttpStatusClass.SUCCESS;
    ResponseMetadata head = forwarder.headerTranslator().responseMetadata(httpResponse.headers());
    responseMetadata = Optional.of(head);
    target.recordHead(status(), head, httpResponse.headers());
    target.recordSurvived(List.of(), UNKNOWN_DIGEST);
    String contentType = httpResponse.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    streaming =
        success && route.kind() == RequestKind.STREAM && contentType.startsWith(EVENT_STREAM);
    if (success && !head.signed()) {
      fail("unsigned");
    } else if (exchange.isResponseStarted() && !streaming && !target.isRefusal(status(), head)) {
      // The caller has received events, which only further events may follow.
      fail("no-stream");
    }
    headBytes = memoryBytes(httpResponse.headers());
    recordHeld(0);
  }

  private static int memoryBytes(HttpHeaders headers) {
    int bytes = 0;
    for (Map.Entry<String, String> header : headers) {
      bytes += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD_BYTES;
    }
    return bytes;
  }

  private void recordHeld(int contentBytes) {
    if (!finished) {
      held.resize(headBytes + contentBytes);
    }
  }

  @Override
  public void onData(ByteBuf part) {
    if (finished) {
      return;
    }
    target.recordPart();
    if (!streaming) {
      if (body.readableBytes() + part.readableBytes() > MAXIMUM_BODY_BYTES) {
        fail(BODY_TOO_LONG);
      } else {
        body.writeBytes(part, part.readerIndex(), part.readableBytes());
        recordHeld(body.capacity());
      }
      return;
    }
    ByteBuf complete = events.add(part);
    if (complete.isReadable()) {
      recordEventTime();
      startStream();
      eventGroups++;
      if (eventGroups == PROCEEDING_EVENT_GROUPS) {
        target.recordSurvived(request.quarantine().sharedParts(), UNKNOWN_DIGEST);
      }
      exchange.write(complete);
      awaitCaller();
    }
    if (events.isTooLong()) {
      fail(EVENT_TOO_LONG);
    }
    recordHeld(events.heldBytes());
  }

  /** Receives no further events until the caller has accepted most of the former ones. */
  private void awaitCaller() {
    EndpointConnection current = connection.orElseThrow();
    if (!finished && exchange.isCongested()) {
      current.pause();
      exchange.onUncongested(current::resume);
    }
  }

  private void recordEventTime() {
    long elapsedMillis = elapsedMillis();
    if (firstEventMillis == 0) {
      firstEventMillis = elapsedMillis;
    } else {
      longestPauseMillis = Math.max(longestPauseMillis, elapsedMillis - lastEventMillis);
    }
    lastEventMillis = elapsedMillis;
  }

  /** Returns the longest time between two groups of events, in milliseconds. */
  long longestPauseMillis() {
    return longestPauseMillis;
  }

  private void startStream() {
    if (!exchange.isResponseStarted()) {
      HttpResponse httpResponse = response.orElseThrow();
      exchange.begin(httpResponse.status(), responseHeaders(httpResponse));
      target.recordStreamStarted();
      request.onResponseStarted();
    }
  }

  private static HttpHeaders responseHeaders(HttpResponse httpResponse) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(httpResponse.headers());
    HopByHopHeaders.remove(headers);
    return headers;
  }

  @Override
  public void onComplete() {
    if (finished) {
      return;
    }
    // From here on a response is counted with the connection of its caller.
    held.release();
    HttpResponse httpResponse = response.orElseThrow();
    int status = status();
    if (target.isRefusal(status, responseMetadata.orElseThrow())) {
      end(AttemptOutcome.NOT_EXECUTED, "endpoint-refused");
    } else if (streaming) {
      endStream();
    } else if (NOT_EXECUTED_STATUSES.contains(status)) {
      // The status would assure the caller that the request was not executed, but the endpoint did
      // not mark it as not executed.
      end(AttemptOutcome.UNKNOWN, "status-without-word");
    } else if (status >= 500
        && target.mayReplaceFailure()
        && request.keepFailure(
            new KeptFailure.Response(
                HttpResponseStatus.valueOf(status), responseHeaders(httpResponse), body))) {
      end(AttemptOutcome.UNKNOWN, "endpoint-failed");
    } else {
      exchange.respond(HttpResponseStatus.valueOf(status), responseHeaders(httpResponse), body);
      request.onResponseStarted();
      if (httpResponse.status().codeClass() == HttpStatusClass.SUCCESS && isDelimited()) {
        target.recordSurvived(List.of(), request.quarantine().digest());
      }
      end(AttemptOutcome.ANSWERED, "whole");
    }
  }

  private void endStream() {
    if (events.isMidEvent() || eventGroups == 0) {
      brokenOff = true;
      connectionEnded = !isDelimited();
      fail(events.isMidEvent() ? "broken-event" : "no-event");
    } else {
      startStream();
      exchange.end();
      if (isDelimited()) {
        boolean proceeded = eventGroups >= PROCEEDING_EVENT_GROUPS;
        target.recordSurvived(
            proceeded ? List.of() : request.quarantine().sharedParts(),
            request.quarantine().digest());
      }
      end(AttemptOutcome.ANSWERED, "whole");
    }
  }

  /** Indicates whether the response states its end itself, other than by closing the connection. */
  private boolean isDelimited() {
    HttpResponse httpResponse = response.orElseThrow();
    return HttpUtil.isTransferEncodingChunked(httpResponse)
        || HttpUtil.isContentLengthSet(httpResponse);
  }

  @Override
  public void onFailure(String reason) {
    if (!finished) {
      // This host has ended an oversized response, not the endpoint.
      brokenOff = !OVERSIZED.contains(reason);
      connectionEnded = CONNECTION_ENDED.contains(reason);
      end(AttemptOutcome.UNKNOWN, reason);
    }
  }

  private void fail(String reason) {
    connection.ifPresent(EndpointConnection::cancel);
    end(AttemptOutcome.UNKNOWN, reason);
  }

  private void end(AttemptOutcome outcome, String reason) {
    if (finished) {
      return;
    }
    finished = true;
    held.release();
    unreachable = reason.equals(NO_CONNECTION);
    target.recordEnd(outcome, reason, status());
    recordConnectionUse();
    if (OVERSIZED.contains(reason)) {
      forwarder.recordOversizedResponse(target.name(), reason);
    }
    if (outcome == AttemptOutcome.UNKNOWN && brokenOff) {
      recordBroken();
    }
    request.onAttemptEnded(this, outcome, reason, events.lastId());
  }

  private void recordConnectionUse() {
    forwarder.countForeignResponses(target.name(), connectionUse());
  }

  private void recordBroken() {
    boolean atBeginning = eventGroups < PROCEEDING_EVENT_GROUPS;
    target.recordBroken(
        atBeginning ? request.quarantine().sharedParts() : List.of(),
        connectionEnded ? request.quarantine().digest() : UNKNOWN_DIGEST);
  }
}
