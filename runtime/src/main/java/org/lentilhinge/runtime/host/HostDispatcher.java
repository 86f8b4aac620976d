package org.lentilhinge.runtime.host;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.lentilhinge.configuration.Adapter;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Engine;
import org.lentilhinge.host.AttemptResult;
import org.lentilhinge.host.GatewayRequest;
import org.lentilhinge.host.HostCommand;
import org.lentilhinge.host.HostEvent;
import org.lentilhinge.host.RefusalReason;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.routing.ClassifiedRequest;
import org.lentilhinge.runtime.gateway.Assignment;
import org.lentilhinge.runtime.gateway.AssignmentException;
import org.lentilhinge.runtime.gateway.AssignmentRequest;
import org.lentilhinge.runtime.gateway.AttemptOutcome;
import org.lentilhinge.runtime.gateway.Dispatcher;

/** Assigns endpoints to attempts as decided by the state machine of the entry host. */
final class HostDispatcher implements Dispatcher {

  private record WaitingAttempt(AttemptId attempt, SingleEmitter<Assignment> emitter) {}

  private final HostEventLoop loop;
  private final Supplier<Configuration> configuration;
  private final Map<RequestId, WaitingAttempt> waitingAttempts = new HashMap<>();

  HostDispatcher(HostEventLoop loop, Supplier<Configuration> configuration) {
    this.loop = loop;
    this.configuration = configuration;
  }

  @Override
  public Single<Assignment> assign(AssignmentRequest request) {
    return Single.create(emitter -> loop.run(() -> requestEndpoint(request, emitter)));
  }

  @Override
  public boolean mayDispatch(Assignment assignment) {
    return loop.host().mayDispatch(assignment.attempt().request(), loop.nowMillis());
  }

  @Override
  public void onAttemptEnded(Assignment assignment, AttemptOutcome outcome) {
    RequestId request = assignment.attempt().request();
    loop.post(new HostEvent.AttemptEnded(request, resultOf(outcome)));
  }

  @Override
  public void onRequestFinished(RequestId request) {
    loop.run(
        () -> {
          waitingAttempts.remove(request);
          loop.process(new HostEvent.RequestFinished(request));
        });
  }

  void onDispatched(HostCommand.Dispatch command) {
    WaitingAttempt waitingAttempt = waitingAttempts.remove(command.request());
    Optional<Engine> engine = configuration.get().engine(command.endpoint());
    if (waitingAttempt == null || engine.isEmpty()) {
      loop.process(new HostEvent.AttemptEnded(command.request(), AttemptResult.NOT_STARTED));
      return;
    }
    waitingAttempt
        .emitter()
        .onSuccess(
            new Assignment(
                waitingAttempt.attempt(),
                command.endpoint(),
                engine.get().address(),
                command.version(),
                label(command.reason().name()) + " stalled-" + command.grantWaitMillis() + "-ms",
                command.waitedMillis()));
  }

  void onRefused(HostCommand.Refuse command) {
    WaitingAttempt waitingAttempt = waitingAttempts.remove(command.request());
    if (waitingAttempt != null) {
      String reason = describe(command.reason());
      waitingAttempt
          .emitter()
          .tryOnError(new AssignmentException(reason, command.retryAfterMillis()));
    }
  }

  private void requestEndpoint(AssignmentRequest request, SingleEmitter<Assignment> emitter) {
    Optional<Adapter> adapter = configuration.get().adapter(request.adapter().adapter());
    if (adapter.isEmpty()) {
      emitter.tryOnError(new AssignmentException("the adapter is no longer declared"));
      return;
    }
    RequestId id = request.attempt().request();
    waitingAttempts.put(id, new WaitingAttempt(request.attempt(), emitter));
    ClassifiedRequest classified =
        new ClassifiedRequest(
            request.caller(),
            "",
            request.adapter(),
            adapter.get().baseModel(),
            adapter.get().sizeBytes(),
            request.urgency());
    GatewayRequest gatewayRequest =
        new GatewayRequest(
            id,
            request.attempt().number(),
            classified,
            request.triedEndpoints(),
            OptionalLong.empty(),
            request.deadlineAtMillis());
    loop.process(new HostEvent.AttemptRequested(gatewayRequest));
  }

  private static AttemptResult resultOf(AttemptOutcome outcome) {
    return switch (outcome) {
      case COMPLETED, CANCELLED -> AttemptResult.ENDED;
      case NOT_RUN -> AttemptResult.NOT_STARTED;
      case UNCONFIRMED -> AttemptResult.LOST;
    };
  }

  private static String describe(RefusalReason reason) {
    return switch (reason) {
      case CALLER_LIMIT -> "the caller has reached its limit of concurrent requests on this host";
      case OVERLOAD -> "the engines are occupied by requests with precedence";
      case DEADLINE -> "no engine became available before the deadline";
      case NO_ENDPOINT -> "no engine of the base model is available";
      case LOAD_FAILED -> "the adapter version could not be loaded";
      case NOT_CONFIGURED -> "no configuration has been applied yet";
      case STOPPING -> "the host is stopping";
    };
  }

  private static String label(String name) {
    return name.toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
