package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The response of an endpoint that failed to execute a request, kept while another endpoint is
 * tried.
 */
final class KeptFailure {

  private final HostContext context;
  private final ResponseMemory memory;
  private Optional<Response> response = Optional.empty();
  private ResponseMemory.Share held;
  private OptionalLong timer = OptionalLong.empty();

  /** A complete response. */
  record Response(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {}

  KeptFailure(HostContext context, ResponseMemory memory) {
    this.context = context;
    this.memory = memory;
    held = memory.open(this::drop);
  }

  /** Keeps a response in place of an earlier one, and calls back after a time. */
  void keep(Response failure, long millis, Runnable callback) {
    response = Optional.of(failure);
    held.release();
    held = memory.open(this::drop);
    held.resize(failure.body().capacity());
    cancelTimer();
    timer = OptionalLong.of(context.vertx().setTimer(Math.max(1, millis), id -> callback.run()));
  }

  private void drop() {
    response = Optional.empty();
  }

  Optional<Response> response() {
    return response;
  }

  /** Ends the wait for another endpoint. A kept response is passed on now or not at all. */
  void end() {
    cancelTimer();
    held.release();
  }

  private void cancelTimer() {
    timer.ifPresent(context.vertx()::cancelTimer);
    timer = OptionalLong.empty();
  }
}
