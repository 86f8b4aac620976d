package org.lentilhinge.runtime.engine;

import io.reactivex.rxjava3.exceptions.Exceptions;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.BooleanSupplier;
import org.lentilhinge.runtime.http.ResponseStatus;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Runs one attempt on one connection. All state is confined to the Vert.x context on which the
 * subscriber subscribed; calls from other threads are dispatched to that context.
 */
final class EngineStreamSubscription implements Subscription {

  private static final String EVENT_PREFIX = "data:";
  private static final String LAST_EVENT = "[DONE]";
  private static final int STATUS_OK = 200;

  private final EngineTransport transport;
  private final EngineRequest attempt;
  private final BooleanSupplier mayWrite;
  private final Subscriber<? super EngineChunk> subscriber;
  private final Context context;
  private final HttpClient pool;
  private final InactivityTimer inactivityTimer;
  private HttpClientRequest request;
  private RecordParser eventParser;
  private long demand;
  private boolean finished;

  EngineStreamSubscription(
      EngineTransport transport,
      EngineRequest attempt,
      BooleanSupplier mayWrite,
      Subscriber<? super EngineChunk> subscriber) {
    this.transport = transport;
    this.attempt = attempt;
    this.mayWrite = mayWrite;
    this.subscriber = subscriber;
    this.context = transport.vertx().getOrCreateContext();
    this.pool = transport.pool(attempt.endpoint());
    this.inactivityTimer =
        transport.createInactivityTimer(() -> onContext(this::onInactivityTimeout));
  }

  void start() {
    onContext(this::connect);
  }

  @Override
  public void request(long count) {
    onContext(() -> addDemand(count));
  }

  @Override
  public void cancel() {
    onContext(this::abandon);
  }

  private void onContext(Runnable action) {
    if (Vertx.currentContext() == context) {
      action.run();
    } else {
      context.runOnContext(ignored -> action.run());
    }
  }

  private void connect() {
    pool.request(
            transport.requestOptions(HttpMethod.POST, attempt.address(), attempt.kind().path()))
        .onComplete(
            this::sendRequest, cause -> fail(EngineFailure.UNREACHABLE, cause.getMessage()));
  }

  private void sendRequest(HttpClientRequest newRequest) {
    request = newRequest;
    // This handler is also called for a reset by this client, which needs no handling.
    newRequest.exceptionHandler(ignored -> {});
    if (finished) {
      newRequest.reset();
      return;
    }
    newRequest.putHeader("Content-Type", "application/json");
    newRequest.putHeader(VllmCodec.ATTEMPT_HEADER, attempt.attempt().toString());
    Buffer body = VllmCodec.encode(attempt).toBuffer();
    if (!mayWrite.getAsBoolean()) {
      newRequest.reset();
      fail(EngineFailure.WITHHELD, "withheld before write");
      return;
    }
    transport.countAttempt();
    inactivityTimer.startWaiting(transport.settings().firstChunkTimeoutMillis());
    newRequest
        .send(body)
        .onComplete(this::onResponse, cause -> fail(EngineFailure.BROKEN, cause.getMessage()));
  }

  private void onResponse(HttpClientResponse response) {
    if (finished) {
      return;
    }
    if (!ResponseStatus.isFinal(response.statusCode())) {
      // Without a handler Vert.x logs the reset.
      response.exceptionHandler(unused -> {});
      fail(EngineFailure.BROKEN, "invalid status " + response.statusCode());
      return;
    }
    if (response.statusCode() != STATUS_OK) {
      BoundedBody.read(response, EngineTransport.MAXIMUM_BODY_BYTES)
          .onComplete(
              body ->
                  fail(
                      EngineTransport.errorResponse(
                          attempt.endpoint(), response.statusCode(), body)),
              cause -> fail(EngineFailure.FAILED, "status " + response.statusCode()));
      return;
    }
    eventParser = RecordParser.newDelimited("\n\n", response);
    eventParser.maxRecordSize(transport.settings().maximumChunkBytes());
    eventParser.exceptionHandler(cause -> fail(EngineFailure.BROKEN, cause.getMessage()));
    eventParser.endHandler(
        ignored -> fail(EngineFailure.BROKEN, "stream ended without its final event"));
    eventParser.pause();
    eventParser.handler(this::onEvent);
    if (demand > 0) {
      eventParser.fetch(demand);
    } else {
      inactivityTimer.stopWaiting();
    }
  }

  private void addDemand(long count) {
    if (finished) {
      return;
    }
    boolean wasIdle = demand == 0;
    demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
    if (eventParser != null) {
      if (wasIdle) {
        inactivityTimer.startWaiting(transport.settings().nextChunkTimeoutMillis());
      }
      eventParser.fetch(count);
    }
  }

  private void onEvent(Buffer event) {
    if (finished) {
      return;
    }
    String line = event.toString();
    if (!line.startsWith(EVENT_PREFIX)) {
      // Comments and events of other types contain no part of the response.
      eventParser.fetch(1);
      return;
    }
    String data = line.substring(EVENT_PREFIX.length()).trim();
    if (data.equals(LAST_EVENT)) {
      complete();
    } else {
      deliver(data);
    }
  }

  private void deliver(String data) {
    EngineChunk chunk;
    try {
      chunk = VllmCodec.decode(attempt.kind(), new JsonObject(data));
    } catch (DecodeException | ClassCastException | IndexOutOfBoundsException exception) {
      fail(EngineFailure.FAILED, "malformed event");
      return;
    }
    if (demand != Long.MAX_VALUE) {
      demand--;
    }
    if (demand > 0) {
      inactivityTimer.startWaiting(transport.settings().nextChunkTimeoutMillis());
    } else {
      inactivityTimer.stopWaiting();
    }
    try {
      subscriber.onNext(chunk);
    } catch (RuntimeException exception) {
      Exceptions.throwIfFatal(exception);
      fail(EngineFailure.FAILED, String.valueOf(exception.getMessage()));
    }
  }

  private void complete() {
    finished = true;
    inactivityTimer.stop();
    // Reads the body to its end, so that the engine does not see the connection closed before.
    eventParser.endHandler(null);
    eventParser.exceptionHandler(ignored -> {});
    eventParser.handler(ignored -> {});
    eventParser.resume();
    request.idleTimeout(transport.settings().nextChunkTimeoutMillis());
    subscriber.onComplete();
  }

  private void onInactivityTimeout() {
    if (finished) {
      return;
    }
    transport.replacePool(attempt.endpoint(), pool);
    fail(
        EngineFailure.SILENT,
        eventParser == null
            ? "timed out waiting for the response"
            : "timed out waiting for the next chunk");
  }

  private void fail(EngineFailure failure, String detail) {
    fail(new EngineException(failure, attempt.endpoint(), String.valueOf(detail)));
  }

  private void fail(EngineException exception) {
    if (finished) {
      return;
    }
    abandon();
    subscriber.onError(exception);
  }

  private void abandon() {
    if (finished) {
      return;
    }
    finished = true;
    inactivityTimer.stop();
    if (request != null) {
      request.reset();
    }
  }
}
