package org.lentilhinge.runtime.host;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.lentilhinge.booking.BookingCall;
import org.lentilhinge.booking.BookingCommand;
import org.lentilhinge.booking.BookingGateway;
import org.lentilhinge.booking.BookingKey;
import org.lentilhinge.booking.BookingOutcome;
import org.lentilhinge.booking.BookingPartitionOwner;
import org.lentilhinge.booking.BookingReason;
import org.lentilhinge.booking.BookingResponse;
import org.lentilhinge.booking.BookingState;
import org.lentilhinge.booking.ServiceResult;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.runtime.gateway.Problem;
import org.lentilhinge.runtime.gateway.ProblemException;
import org.lentilhinge.runtime.gateway.ProblemType;
import org.lentilhinge.runtime.gateway.ServiceDispatcher;
import org.lentilhinge.runtime.gateway.ServiceRequest;
import org.lentilhinge.runtime.service.Execution;
import org.lentilhinge.runtime.service.ServiceAttempt;
import org.lentilhinge.runtime.service.ServiceAttemptResult;
import org.lentilhinge.runtime.service.ServiceClient;
import org.lentilhinge.runtime.service.ServiceResponse;

/**
 * Runs non-repeatable calls through the partition owners of their keys, and repeatable calls
 * directly.
 */
final class BookingDispatcher implements ServiceDispatcher {

  private static final String CONTENT_TYPE = "Content-Type";
  private static final String KEY_HEADER = "Idempotency-Key";

  private final HostId self;
  private final HostEventLoop loop;
  private final BookingGateway gateway;
  private final BookingPartitionOwner partitionOwner;
  private final ServiceClient services;
  private final ServiceDispatcher repeatableCalls;
  private final BiConsumer<HostId, PeerMessage> peerSender;
  private final Map<RequestId, SingleEmitter<ServiceAttemptResult>> pendingCalls = new HashMap<>();
  private final CompletableSubject handedOver = CompletableSubject.create();

  BookingDispatcher(
      HostId self,
      HostEventLoop loop,
      BookingGateway gateway,
      BookingPartitionOwner partitionOwner,
      ServiceClient services,
      ServiceDispatcher repeatableCalls,
      BiConsumer<HostId, PeerMessage> peerSender) {
    this.self = self;
    this.loop = loop;
    this.gateway = gateway;
    this.partitionOwner = partitionOwner;
    this.services = services;
    this.repeatableCalls = repeatableCalls;
    this.peerSender = peerSender;
  }

  @Override
  public Single<ServiceAttemptResult> call(ServiceRequest request) {
    if (request.repeatable()) {
      return repeatableCalls.call(request);
    }
    return Single.create(emitter -> loop.run(() -> book(request, emitter)));
  }

  /**
   * Issues a new ticket, an idempotency key that remains usable when any host other than the issuer
   * is lost.
   */
  String issueTicket() {
    return partitionOwner.issueTicket(loop.nowMillis()).toString();
  }

  void applyConfiguration(Configuration configuration) {
    partitionOwner.applyConfiguration(configuration, loop.nowMillis());
  }

  void onMessage(HostId from, PeerMessage message) {
    long nowMillis = loop.nowMillis();
    execute(partitionOwner.onMessage(from, message, nowMillis));
    execute(gateway.onMessage(from, message, nowMillis));
  }

  void tick() {
    long nowMillis = loop.nowMillis();
    execute(partitionOwner.tick(nowMillis));
    execute(gateway.tick(nowMillis));
  }

  /**
   * Hands over the tickets to a successor and each partition to its probable next owner.
   *
   * @return completes when the stop no longer has to wait for bookings
   */
  Completable handOver(BookingPartitionLeases partitions, long drainMillis) {
    loop.run(
        () -> {
          Optional<HostId> successor = partitions.successor(self);
          if (successor.isEmpty()) {
            handedOver.onComplete();
            return;
          }
          execute(
              partitionOwner.startHandOver(
                  successor.get(),
                  partition -> partitions.nextOwner(partition, self).orElse(successor.get()),
                  drainMillis,
                  loop.nowMillis()));
        });
    return handedOver;
  }

  private void book(ServiceRequest request, SingleEmitter<ServiceAttemptResult> emitter) {
    Optional<BookingKey> key = bookingKey(request);
    if (key.isEmpty()) {
      emitter.onSuccess(
          ServiceAttemptResult.notRun("the Idempotency-Key exceeds the maximum length"));
      return;
    }
    pendingCalls.put(request.request(), emitter);
    String contentType = request.headers().get(CONTENT_TYPE);
    BookingCall call =
        new BookingCall(
            request.method(),
            request.path(),
            contentType == null ? "" : contentType,
            request.body().getBytes());
    execute(gateway.book(request.request(), key.get(), call, loop.nowMillis()));
  }

  private static Optional<BookingKey> bookingKey(ServiceRequest request) {
    return request
        .key()
        .filter(value -> !value.isEmpty() && value.length() <= BookingKey.MAXIMUM_LENGTH)
        .map(value -> new BookingKey(request.service().id(), request.caller(), value));
  }

  private void execute(List<BookingCommand> commands) {
    for (BookingCommand command : commands) {
      if (command instanceof BookingCommand.SendMessage send) {
        sendMessage(send);
      } else if (command instanceof BookingCommand.CallService call) {
        callService(call);
      } else if (command instanceof BookingCommand.CompleteCall completion) {
        completeCall(completion);
      } else if (command instanceof BookingCommand.FinishHandOver) {
        handedOver.onComplete();
      }
    }
  }

  private void sendMessage(BookingCommand.SendMessage send) {
    if (send.receiver().equals(self)) {
      loop.run(() -> onMessage(self, send.message()));
    } else {
      peerSender.accept(send.receiver(), send.message());
    }
  }

  private void callService(BookingCommand.CallService call) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap().add(KEY_HEADER, call.key().value());
    if (!call.call().contentType().isEmpty()) {
      headers.add(CONTENT_TYPE, call.call().contentType());
    }
    ServiceAttempt attempt =
        new ServiceAttempt(
            call.instance().id(),
            call.instance().address(),
            call.call().method(),
            call.call().path(),
            headers,
            Buffer.buffer(call.call().body()),
            false);
    Disposable unused =
        services
            .call(attempt, () -> partitionOwner.mayStart(call.attempt(), loop.nowMillis()))
            .subscribe(result -> loop.run(() -> onAttemptEnded(call, result)));
  }

  private void onAttemptEnded(BookingCommand.CallService call, ServiceAttemptResult result) {
    execute(partitionOwner.onAttemptEnded(call.attempt(), resultOf(result), loop.nowMillis()));
  }

  private static ServiceResult resultOf(ServiceAttemptResult result) {
    if (result.response().isPresent()) {
      ServiceResponse response = result.response().get();
      String contentType = response.headers().get(CONTENT_TYPE);
      return ServiceResult.answered(
          new BookingResponse(
              response.status(),
              contentType == null ? "" : contentType,
              response.body().getBytes()));
    }
    return result.execution() == Execution.NOT_RUN ? ServiceResult.notSent() : ServiceResult.sent();
  }

  private void completeCall(BookingCommand.CompleteCall completion) {
    SingleEmitter<ServiceAttemptResult> pendingCall = pendingCalls.remove(completion.request());
    if (pendingCall == null) {
      return;
    }
    if (completion.outcome().reason() == BookingReason.CALL_MISMATCH) {
      Execution execution = executionOf(completion.outcome().state());
      Problem problem =
          Problem.of(ProblemType.KEY_REUSED, "the key was already used for another call");
      pendingCall.tryOnError(new ProblemException(problem.withExecution(execution)));
    } else {
      pendingCall.onSuccess(attemptResultOf(completion.outcome()));
    }
  }

  private static ServiceAttemptResult attemptResultOf(BookingOutcome outcome) {
    String detail = outcome.reason().name().toLowerCase(Locale.ROOT).replace('_', '-');
    if (outcome.response().isPresent()) {
      BookingResponse response = outcome.response().get();
      MultiMap headers = MultiMap.caseInsensitiveMultiMap();
      if (!response.contentType().isEmpty()) {
        headers.add(CONTENT_TYPE, response.contentType());
      }
      return ServiceAttemptResult.answered(
          new ServiceResponse(response.status(), headers, Buffer.buffer(response.body())));
    }
    return new ServiceAttemptResult(
        executionOf(outcome.state()), Optional.empty(), detail, outcome.retryAfterMillis());
  }

  private static Execution executionOf(BookingState state) {
    return switch (state) {
      case RAN -> Execution.RAN;
      case NOT_RUN -> Execution.NOT_RUN;
      case UNKNOWN -> Execution.UNKNOWN;
    };
  }
}
