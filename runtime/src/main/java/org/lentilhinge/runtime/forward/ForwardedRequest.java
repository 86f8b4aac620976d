package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.customer.CallerIdentity;
import org.lentilhinge.dispatch.SendObstacle;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.AttemptOutcome;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.RequestKind;
import org.lentilhinge.forward.RequestProgress;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitReturn;

/**
 * Forwards one request of a caller: selects endpoints and makes attempts until the caller has
 * exactly one response.
 */
final class ForwardedRequest {

  /**
   * The multiple of the route's target time during which permits of further engines are requested.
   */
  private static final double PERMIT_TARGET_MULTIPLE = 2;

  /** The minimum remaining time for starting an attempt, in milliseconds. */
  private static final long MINIMUM_ATTEMPT_MILLIS = 20;

  private static final int MAXIMUM_URGENCY_RANK = 9;
  private static final String OUT_OF_TIME = "out-of-time";
  private static final String SUSPECTED = "suspected-of-crashes";

  private final Forwarder forwarder;
  private final HostContext context;
  private final HostState state;
  private final RequestLog log;
  private final CallerExchange exchange;
  private final RequestMetadata requestMetadata;
  private final ForwardRoute route;
  private final String service;
  private final CallerIdentity identity;
  private final RequestProgress progress;
  private final QuarantineCheck quarantine;
  private final StreamContinuation continuation;
  private final long arrivedAtMillis;
  private final long deadlineAtMillis;
  private final EndpointChoice choice;
  private final RequestPermit permit;
  private final KeptFailure keptFailure;
  private final RetryDelay retryDelay = new RetryDelay();
  private final Set<String> triedHosts = new HashSet<>();
  private Optional<EndpointAttempt> attempt = Optional.empty();
  private Optional<String> resumeAfter;
  private long deadlineTimer;
  private boolean finished;

  ForwardedRequest(
      Forwarder forwarder,
      CallerExchange exchange,
      RequestMetadata requestMetadata,
      ForwardRoute route,
      String service,
      CallerIdentity identity,
      long arrivedAtMillis) {
    this.forwarder = forwarder;
    this.context = forwarder.context();
    this.state = forwarder.state();
    this.log = new RequestLog(context.log(), requestMetadata.requestId());
    this.exchange = exchange;
    this.requestMetadata = requestMetadata;
    this.route = route;
    this.service = service;
    this.identity = identity;
    this.progress = new RequestProgress(route);
    this.quarantine =
        new QuarantineCheck(
            forwarder.quarantine(),
            generation().sharedParts(),
            RequestDigest.of(exchange.request(), exchange.body()));
    this.continuation =
        new StreamContinuation(context, forwarder.streamOrigins(), requestMetadata, route, service);
    this.choice = new EndpointChoice(state, context, service, requestMetadata);
    choice.sendCheck().limitBody(forwarder.memory().openBody(exchange));
    this.permit = new RequestPermit(forwarder, requestMetadata, route, identity, log);
    this.keptFailure = new KeptFailure(context, forwarder.responseMemory());
    this.resumeAfter = requestMetadata.resumeAfter();
    this.arrivedAtMillis = arrivedAtMillis;
    deadlineAtMillis =
        arrivedAtMillis
            + Math.min(
                route.timeoutMillis(),
                requestMetadata.remainingMillis().orElse(route.timeoutMillis()));
  }

  void start() {
    log.write(
        "request",
        "route",
        route.name(),
        "service",
        service,
        "kind",
        route.kind(),
        "customer",
        identity.customerName().orElse("-"),
        "configuration",
        state.configuration().map(ForwardConfiguration::version).orElse(DeclaredVersion.NONE),
        "leftMs",
        remainingMillis(),
        "digest",
        quarantine.digest());
    deadlineTimer = context.vertx().setTimer(Math.max(1, remainingMillis()), id -> onDeadline());
    exchange.setDisconnectListener(this::onCallerDisconnected);
    if (continuation.isResumed()) {
      continuation.findVersion(this::onStreamVersion);
    } else {
      attemptNext();
    }
  }

  private void onStreamVersion(Optional<String> version) {
    if (finished) {
      return;
    }
    log.write(
        "resume",
        "first",
        requestMetadata.resumedRequestId().orElse("-"),
        "version",
        version.orElse("unknown"));
    if (version.isEmpty()) {
      retryDelay.suggest(continuation.maximumAgeMillis());
      fail("unknown-version");
      return;
    }
    choice.sendCheck().restrictTo(version.get());
    attemptNext();
  }

  private long remainingMillis() {
    return deadlineAtMillis - context.now();
  }

  private void attemptNext() {
    if (finished) {
      return;
    }
    if (remainingMillis() < MINIMUM_ATTEMPT_MILLIS) {
      onDeadline();
    } else if (quarantine.isRefused()) {
      fail(quarantine.reason());
    } else if (!progress.isCertainlyNotRun() && quarantine.isSuspected()) {
      fail(SUSPECTED);
    } else if (progress.isRetry() && !trySpendRetry()) {
      fail("no-retry-budget");
    } else {
      chooseEndpoint();
    }
  }

  QuarantineCheck quarantine() {
    return quarantine;
  }

  private boolean trySpendRetry() {
    return state.hosts().majority().wasHeld()
        && state
            .retryBudgetShare(service)
            .trySpend(state.hosts().sharingHostCount(), context.now());
  }

  private void chooseEndpoint() {
    if (forwarder.paths().isCutOff()) {
      relay();
      return;
    }
    Optional<FleetEndpoint> chosen = choice.next();
    if (chosen.isEmpty()) {
      if (!retryDelay.isSuggested()) {
        choice.retryMillis().ifPresent(retryDelay::suggest);
      }
      fail(choice.missingReason());
    } else if (choice.needsPermit(chosen.get())) {
      requestPermit(chosen.get());
    } else {
      startAttempt(chosen.get(), OptionalLong.empty());
    }
  }

  private RequestMetadata.Generation generation() {
    return requestMetadata.generation().orElse(RequestMetadata.Generation.UNKNOWN);
  }

  private void requestPermit(FleetEndpoint engine) {
    choice.recordPermitRequest();
    long version = permit.adapterVersion();
    RequestPermit.Times times =
        choice.permitTimes(
            route.targetMillis(), context.now() - arrivedAtMillis, remainingMillis());
    if (choice.isEngineService()) {
      permit.request(engine, times, answer -> onPermitAnswer(engine, version, answer));
    } else {
      permit.requestPaced(engine, times, answer -> onPermitAnswer(engine, 0, answer));
    }
  }

  private void onPermitAnswer(FleetEndpoint engine, long version, PermitAnswer answer) {
    if (finished) {
      return;
    }
    if (answer.granted() && quarantine.isRefused()) {
      fail(quarantine.reason());
      return;
    }
    if (answer.isEndpointLeft()) {
      forwarder.departures().recordRefusal(engine);
    }
    Optional<SendObstacle> obstacle = choice.sendCheck().find(engine);
    if (obstacle.isPresent()) {
      // Known since the permit was requested; other engines are asked as if this one had not been.
      log.write("not-permitted", "engine", engine.id(), "why", obstacle.get().reason());
      permit.release(PermitReturn.Outcome.DONE, 0);
      choice.withdrawPermitRequest();
      attemptNext();
      return;
    }
    if (answer.granted()) {
      startAttempt(engine, version == 0 ? OptionalLong.empty() : OptionalLong.of(version));
      return;
    }
    choice.exclude(engine);
    log.write("not-permitted", "engine", engine.id(), "why", answer.reason());
    if (answer.isLimited()) {
      state
          .limits()
          .recordExhausted(engine.incarnation(), context.now() + answer.retryAfterMillis());
    } else if (choice.isEngineService()) {
      retryDelay.suggest(answer.retryAfterMillis());
    }
    if (context.now() - arrivedAtMillis > route.targetMillis() * PERMIT_TARGET_MULTIPLE) {
      // The request has already waited long for the previous engines: the caller retries later
      // instead of waiting in another queue.
      fail(answer.reason());
    } else {
      attemptNext();
    }
  }

  private void startAttempt(FleetEndpoint endpoint, OptionalLong version) {
    choice.exclude(endpoint);
    if (!choice.isEngineService()) {
      log.writeRoute(endpoint, state.endpoints().ageMillis(context.now()));
    }
    EndpointRequestMetadata metadata =
        new EndpointRequestMetadata(
            endpoint.id(),
            remainingMillis(),
            choice.isEngineService()
                ? OptionalInt.of(
                    Math.min(MAXIMUM_URGENCY_RANK, identity.priority(route.priority())))
                : OptionalInt.empty(),
            version,
            resumeAfter,
            identity);
    boolean repeatable = route.isRepeatable();
    start(new EndpointTarget(forwarder, this, endpoint, metadata, choice.sendCheck(), repeatable));
  }

  private void start(AttemptTarget target) {
    EndpointAttempt nextAttempt = new EndpointAttempt(forwarder, this, exchange, route, target);
    attempt = Optional.of(nextAttempt);
    nextAttempt.start();
  }

  /** Has another host serve the request, as this host has no path to the endpoints. */
  private void relay() {
    Optional<HostRelay.Helper> helper =
        exchange.isRelayed() ? Optional.empty() : forwarder.relay().select(triedHosts);
    if (helper.isEmpty()) {
      fail(SendObstacle.NO_PATH.reason());
      return;
    }
    triedHosts.add(helper.get().host());
    log.write("relay", "helper", helper.get().host(), "leftMs", remainingMillis());
    Optional<String> first = requestMetadata.resumedRequestId().or(requestMetadata::requestId);
    start(
        new RelayTarget(
            forwarder,
            helper.get(),
            new RelayRequestMetadata(
                remainingMillis(), resumeAfter, resumeAfter.flatMap(unused -> first))));
  }

  /**
   * Handles that this host has lost its paths to the endpoints. An attempt that was not sent, or
   * that may be repeated and has no response yet, makes way for an attempt through another host.
   */
  void onPathLost() {
    boolean replaced =
        attempt
            .filter(current -> current.target() instanceof EndpointTarget)
            .filter(
                current ->
                    !current.isSent()
                        || current.responseMetadata().isEmpty()
                            && route.isRepeatable()
                            && progress.mayAttemptAfterRun())
            .isPresent();
    if (replaced) {
      EndpointAttempt replacedAttempt = attempt.get();
      replacedAttempt.cancel();
      onAttemptEnded(
          replacedAttempt,
          replacedAttempt.isSent() ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_SENT,
          SendObstacle.NO_PATH.reason(),
          Optional.empty());
    }
  }

  Optional<String> requestId() {
    return requestMetadata.requestId();
  }

  /** Keeps the stream at the software version of the events that the caller receives. */
  void onStreamStarted(FleetEndpoint endpoint) {
    if (route.resumable()) {
      choice.sendCheck().restrictTo(endpoint.softwareVersion());
      continuation.recordStart(endpoint);
    }
  }

  /** Records the time until the first part of the response was written to the caller. */
  void onResponseStarted() {
    context
        .metrics()
        .timer(MetricRegistry.name("forward", "first", route.kind().name()))
        .update(context.now() - arrivedAtMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Keeps the response of an endpoint that failed, if another endpoint may be tried. It is passed
   * on if no other endpoint has responded after the time that a response is expected to take.
   *
   * @return whether the response is kept, so that the attempt has not answered the request
   */
  boolean keepFailure(KeptFailure.Response failure) {
    boolean keep = route.kind() == RequestKind.SAFE && progress.mayAttemptAfterRun();
    if (keep) {
      keptFailure.keep(failure, route.targetMillis(), this::endRetry);
    }
    return keep;
  }

  private void endRetry() {
    if (!finished) {
      cancelAttempt();
      progress.recordOutcome(AttemptOutcome.UNKNOWN);
      fail("endpoint-failed");
    }
  }

  /** Handles the end of an attempt: makes another attempt, or ends the request. */
  void onAttemptEnded(
      EndpointAttempt endedAttempt,
      AttemptOutcome outcome,
      String reason,
      Optional<String> lastEventId) {
    log.writeAttempt(endedAttempt, outcome, reason, quarantine.sharedParts());
    attempt = Optional.empty();
    permit.release(permitOutcome(endedAttempt, outcome), endedAttempt.firstEventMillis());
    if (finished) {
      return;
    }
    progress.recordOutcome(outcome);
    if (outcome == AttemptOutcome.ANSWERED) {
      finish("answered");
      return;
    }
    lastEventId.ifPresent(id -> resumeAfter = Optional.of(id));
    if (endedAttempt.target().endsRequest()) {
      endedAttempt
          .responseMetadata()
          .ifPresent(head -> head.retryAfterMillis().ifPresent(retryDelay::suggest));
      fail(reason);
    } else if (progress.mayAttemptAgain() && mayResume()) {
      attemptNext();
    } else {
      fail(reason);
    }
  }

  private boolean mayResume() {
    return !exchange.isResponseStarted() || route.resumable();
  }

  private static PermitReturn.Outcome permitOutcome(
      EndpointAttempt attempt, AttemptOutcome outcome) {
    if (attempt.isUnreachable()) {
      return PermitReturn.Outcome.UNREACHABLE;
    }
    if (outcome != AttemptOutcome.NOT_EXECUTED) {
      return PermitReturn.Outcome.DONE;
    }
    return attempt.status() == 421 ? PermitReturn.Outcome.ABSENT : PermitReturn.Outcome.REFUSED;
  }

  private void onDeadline() {
    end(OUT_OF_TIME);
  }

  /** Indicates whether no attempt can have run, and none has been sent. */
  boolean isUnsent() {
    return progress.isCertainlyNotRun() && !attempt.map(EndpointAttempt::isSent).orElse(false);
  }

  /** Ends the request without waiting any longer for a response. */
  void end(String reason) {
    if (finished) {
      return;
    }
    cancelAttempt();
    if (reason.equals(Forwarder.STOPPING)) {
      retryDelay.set(Forwarder.STOPPING_RETRY_MILLIS);
    }
    fail(reason);
  }

  private void cancelAttempt() {
    boolean sent = attempt.map(EndpointAttempt::isSent).orElse(false);
    attempt.ifPresent(EndpointAttempt::cancel);
    attempt = Optional.empty();
    if (sent) {
      progress.recordOutcome(AttemptOutcome.UNKNOWN);
    }
  }

  private void onCallerDisconnected() {
    if (!finished) {
      cancelAttempt();
      finish("caller-gone");
    }
  }

  /**
   * Ends the request without a successful response. A kept response of an endpoint is passed on.
   * Otherwise the status is 503 with a retry delay only if the request was certainly not executed;
   * otherwise it is 504 after a timeout and 502 after any other failure. A response that has
   * already begun is aborted.
   */
  private void fail(String reason) {
    if (finished) {
      return;
    }
    finish(reason);
    if (exchange.isResponseStarted()) {
      exchange.abort();
    } else if (keptFailure.response().isPresent()) {
      KeptFailure.Response failure = keptFailure.response().get();
      exchange.respond(failure.status(), failure.headers(), failure.body());
    } else if (progress.isCertainlyNotRun() && reason.equals(SendObstacle.NO_PATH.reason())) {
      exchange.refuseForNow(retryDelayMillis(), reason);
    } else if (progress.isCertainlyNotRun()) {
      exchange.respond(503, Optional.of(retryDelayMillis()), reason);
    } else if (reason.equals(OUT_OF_TIME)) {
      exchange.respond(504, Optional.empty(), reason);
    } else {
      exchange.respond(502, Optional.empty(), reason);
    }
  }

  /** Returns the time after which the caller should send the request again, in milliseconds. */
  private long retryDelayMillis() {
    return quarantine.remainingMillis().orElseGet(() -> retryDelay.millis(remainingMillis()));
  }

  private void finish(String outcome) {
    finished = true;
    context.vertx().cancelTimer(deadlineTimer);
    keptFailure.end();
    forwarder.onRequestFinished(this, exchange.isRelayed(), progress.isCertainlyNotRun());
    permit.release(PermitReturn.Outcome.DONE, 0);
    forwarder.count("ended." + outcome);
    log.write(
        "end",
        "outcome",
        outcome,
        "certainlyNotRun",
        progress.isCertainlyNotRun(),
        "tookMs",
        context.now() - arrivedAtMillis);
  }
}
