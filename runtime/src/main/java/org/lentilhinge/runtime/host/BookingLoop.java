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
import org.lentilhinge.booking.BookingAnswer;
import org.lentilhinge.booking.BookingCall;
import org.lentilhinge.booking.BookingCommand;
import org.lentilhinge.booking.BookingGateway;
import org.lentilhinge.booking.BookingHome;
import org.lentilhinge.booking.BookingKey;
import org.lentilhinge.booking.BookingOutcome;
import org.lentilhinge.booking.BookingReason;
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
import org.lentilhinge.runtime.service.ServiceAnswer;
import org.lentilhinge.runtime.service.ServiceAttempt;
import org.lentilhinge.runtime.service.ServiceClient;
import org.lentilhinge.runtime.service.ServiceReply;

/**
 * Runs non-repeatable calls through the partition owners of their keys, and repeatable calls
 * directly.
 */
final class BookingLoop implements ServiceDispatcher {

  private static final String CONTENT_TYPE = "Content-Type";
  private static final String KEY_HEADER = "Idempotency-Key";

  private final HostId self;
  private final HostLoop loop;
  private final BookingGateway gateway;
  private final BookingHome home;
  private final ServiceClient services;
  private final ServiceDispatcher repeatable;
  private final BiConsumer<HostId, PeerMessage> peers;
  private final Map<RequestId, SingleEmitter<ServiceReply>> callers = new HashMap<>();
  private final CompletableSubject handedOver = CompletableSubject.create();

  BookingLoop(
      HostId self,
      HostLoop loop,
      BookingGateway gateway,
      BookingHome partitionOwner,
      ServiceClient services,
      ServiceDispatcher repeatableCalls,
      BiConsumer<HostId, PeerMessage> peerSender) {
    this.self = self;
    this.loop = loop;
    this.gateway = gateway;
    this.home = partitionOwner;
    this.services = services;
    this.repeatable = repeatableCalls;
    this.peers = peerSender;
  }

  @Override
  public Single<ServiceReply> call(ServiceRequest request) {
    if (request.repeatable()) {
      return repeatable.call(request);
    }
    return Single.create(emitter -> loop.run(() -> book(request, emitter)));
  }

  /**
   * Issues a new ticket, an idempotency key that remains usable when any host other than the issuer
   * is lost.
   */
  String issueTicket() {
    return home.issueTicket(loop.nowMillis()).toString();
  }

  void configured(Configuration configuration) {
    home.configured(configuration, loop.nowMillis());
  }

  void received(HostId from, PeerMessage message) {
    long nowMillis = loop.nowMillis();
    carryOut(home.receive(from, message, nowMillis));
    carryOut(gateway.receive(from, message, nowMillis));
  }

  void tick() {
    long nowMillis = loop.nowMillis();
    carryOut(home.tick(nowMillis));
    carryOut(gateway.tick(nowMillis));
  }

  /**
   * Hands over the tickets to a successor and each partition to its probable next owner. Completes
   * when the stop no longer has to wait for bookings.
   */
  Completable leave(BookingPartitions partitions, long drainMillis) {
    loop.run(
        () -> {
          Optional<HostId> successor = partitions.successor(self);
          if (successor.isEmpty()) {
            handedOver.onComplete();
            return;
          }
          carryOut(
              home.leave(
                  successor.get(),
                  partition -> partitions.nextHome(partition, self).orElse(successor.get()),
                  drainMillis,
                  loop.nowMillis()));
        });
    return handedOver;
  }

  private void book(ServiceRequest request, SingleEmitter<ServiceReply> emitter) {
    Optional<BookingKey> key = key(request);
    if (key.isEmpty()) {
      emitter.onSuccess(ServiceReply.notRun("the Idempotency-Key exceeds the maximum length"));
      return;
    }
    callers.put(request.request(), emitter);
    String contentType = request.headers().get(CONTENT_TYPE);
    BookingCall call =
        new BookingCall(
            request.method(),
            request.path(),
            contentType == null ? "" : contentType,
            request.body().getBytes());
    carryOut(gateway.book(request.request(), key.get(), call, loop.nowMillis()));
  }

  private static Optional<BookingKey> key(ServiceRequest request) {
    return request
        .key()
        .filter(value -> !value.isEmpty() && value.length() <= BookingKey.MAXIMUM_LENGTH)
        .map(value -> new BookingKey(request.service().id(), request.caller(), value));
  }

  private void carryOut(List<BookingCommand> commands) {
    for (BookingCommand command : commands) {
      if (command instanceof BookingCommand.SendMessage send) {
        send(send);
      } else if (command instanceof BookingCommand.CallService call) {
        callService(call);
      } else if (command instanceof BookingCommand.TellCaller completion) {
        tellCaller(completion);
      } else if (command instanceof BookingCommand.HandOverEnded) {
        handedOver.onComplete();
      }
    }
  }

  private void send(BookingCommand.SendMessage send) {
    if (send.receiver().equals(self)) {
      loop.run(() -> received(self, send.message()));
    } else {
      peers.accept(send.receiver(), send.message());
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
            .call(attempt, () -> home.mayStart(call.attempt(), loop.nowMillis()))
            .subscribe(reply -> loop.run(() -> ended(call, reply)));
  }

  private void ended(BookingCommand.CallService call, ServiceReply reply) {
    carryOut(home.attemptEnded(call.attempt(), resultOf(reply), loop.nowMillis()));
  }

  private static ServiceResult resultOf(ServiceReply reply) {
    if (reply.answer().isPresent()) {
      ServiceAnswer answer = reply.answer().get();
      String contentType = answer.headers().get(CONTENT_TYPE);
      return ServiceResult.answered(
          new BookingAnswer(
              answer.status(), contentType == null ? "" : contentType, answer.body().getBytes()));
    }
    return reply.execution() == Execution.NOT_RUN ? ServiceResult.notSent() : ServiceResult.sent();
  }

  private void tellCaller(BookingCommand.TellCaller completion) {
    SingleEmitter<ServiceReply> pendingCall = callers.remove(completion.request());
    if (pendingCall == null) {
      return;
    }
    if (completion.outcome().reason() == BookingReason.CALL_MISMATCH) {
      Execution execution = executionOf(completion.outcome().state());
      Problem problem =
          Problem.of(ProblemType.KEY_REUSED, "the key was already used for another call");
      pendingCall.tryOnError(new ProblemException(problem.withExecution(execution)));
    } else {
      pendingCall.onSuccess(replyOf(completion.outcome()));
    }
  }

  private static ServiceReply replyOf(BookingOutcome outcome) {
    String detail = outcome.reason().name().toLowerCase(Locale.ROOT).replace('_', '-');
    if (outcome.answer().isPresent()) {
      BookingAnswer answer = outcome.answer().get();
      MultiMap headers = MultiMap.caseInsensitiveMultiMap();
      if (!answer.contentType().isEmpty()) {
        headers.add(CONTENT_TYPE, answer.contentType());
      }
      return ServiceReply.answered(
          new ServiceAnswer(answer.status(), headers, Buffer.buffer(answer.body())));
    }
    return new ServiceReply(
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
