package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.AttemptOutcome;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.forward.RequestProgress;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitAsk;
import org.lentilhinge.permit.PermitEnd;

/**
 * Forwards one request of a caller: selects endpoints and makes attempts until the caller has
 * exactly one response.
 */
final class ForwardedRequest {

  /** The maximum number of permit requests; after that the caller has to retry later. */
  private static final int MAXIMUM_ASKS = 3;

  /** The multiple of the route's target time during which further engines receive requests. */
  private static final double ASKING_PART = 2;

  /** The shortest remaining time for which an attempt is made, in milliseconds. */
  private static final long LEAST_MILLIS = 20;

  /** The retry delay sent to the caller if no engine has named one, in milliseconds. */
  private static final long RETRY_MILLIS = 400;

  private static final int GREATEST_URGENCY = 9;

  private final Forwarder forwarder;
  private final HostContext context;
  private final HostState state;
  private final CallerExchange exchange;
  private final CallerHead head;
  private final ForwardRoute route;
  private final String service;
  private final RequestProgress progress;
  private final long arrivedMillis;
  private final long endMillis;
  private final Set<String> excluded = new HashSet<>();
  private Optional<EndpointAttempt> attempt = Optional.empty();
  private Optional<Permit> permit = Optional.empty();
  private Optional<String> resumeAfter;
  private OptionalLong retryMillis = OptionalLong.empty();
  private int asks;
  private long timer;
  private boolean done;

  private record Permit(String host, long ask) {}

  ForwardedRequest(
      Forwarder forwarder,
      CallerExchange exchange,
      CallerHead requestMetadata,
      ForwardRoute route,
      String service,
      long arrivedAtMillis) {
    this.forwarder = forwarder;
    this.context = forwarder.context();
    this.state = forwarder.state();
    this.exchange = exchange;
    this.head = requestMetadata;
    this.route = route;
    this.service = service;
    this.progress = new RequestProgress(route);
    this.resumeAfter = requestMetadata.resumeAfter();
    this.arrivedMillis = arrivedAtMillis;
    endMillis =
        arrivedAtMillis
            + Math.min(
                route.timeoutMillis(),
                requestMetadata.deadlineMillis().orElse(route.timeoutMillis()));
  }

  void start() {
    line(
        "request",
        "route",
        route.name(),
        "service",
        service,
        "kind",
        route.kind(),
        "configuration",
        state.configuration().map(ForwardConfiguration::version).orElse(0L),
        "leftMs",
        leftMillis());
    timer = context.vertx().setTimer(Math.max(1, leftMillis()), id -> outOfTime());
    exchange.onGone(this::callerGone);
    next();
  }

  private long leftMillis() {
    return endMillis - context.now();
  }

  private void next() {
    if (done) {
      return;
    }
    if (leftMillis() < LEAST_MILLIS) {
      outOfTime();
    } else if (progress.isRetry() && !spendRetry()) {
      giveUp("no-retry-budget");
    } else if (state.service(service).flatMap(ForwardService::engine).isPresent()) {
      askForEngine();
    } else {
      choosePlain();
    }
  }

  private boolean spendRetry() {
    return state.retries(service).spend(state.hosts().sharers(), context.now());
  }

  private void choosePlain() {
    Optional<FleetEndpoint> chosen =
        state
            .scores()
            .choose(state.endpoints().usable(service), excluded, state.distances(), context.now());
    if (chosen.isEmpty()) {
      giveUp("no-endpoint");
    } else {
      line(
          "route",
          "endpoint",
          chosen.get().id(),
          "revision",
          chosen.get().revision(),
          "fleetAgeMs",
          state.endpoints().ageMillis(context.now()).orElse(-1L));
      send(chosen.get(), OptionalLong.empty());
    }
  }

  private void askForEngine() {
    CallerHead.Generation generation =
        head.generation().orElse(new CallerHead.Generation("", "", 0, 0));
    List<FleetEndpoint> engines = state.endpoints().usable(service);
    Optional<FleetEndpoint> chosen =
        state
            .board()
            .choose(
                engines,
                excluded,
                generation.adapter(),
                state.distances(),
                engine -> state.scores().failureMillis(engine.life(), context.now()),
                context.now());
    if (chosen.isEmpty() || asks >= MAXIMUM_ASKS) {
      giveUp(chosen.isEmpty() ? "no-engine" : "no-room");
      return;
    }
    asks++;
    FleetEndpoint engine = chosen.get();
    String schedulerHost = state.desk(engine);
    long version = state.version(generation.model(), generation.adapter());
    long remainingTargetMillis = route.targetMillis() - (context.now() - arrivedMillis);
    PermitAsk request =
        new PermitAsk(
            forwarder.permits().next(),
            head.requestId().orElse("-"),
            engine.life(),
            generation.model(),
            generation.adapter(),
            version,
            generation.promptTokens(),
            generation.outputTokens(),
            route.priority(),
            remainingTargetMillis,
            leftMillis());
    line(
        "ask",
        "engine",
        engine.id(),
        "desk",
        schedulerHost,
        "ask",
        request.ask(),
        "adapter",
        generation.adapter(),
        "version",
        version,
        "tokens",
        generation.promptTokens() + "+" + generation.outputTokens());
    state.board().asked(engine.life(), generation.adapter(), generation.promptTokens());
    permit = Optional.of(new Permit(schedulerHost, request.ask()));
    forwarder.permits().ask(schedulerHost, request, answer -> permitted(engine, version, answer));
  }

  private void permitted(FleetEndpoint engine, long version, PermitAnswer answer) {
    if (done) {
      return;
    }
    if (answer.granted()) {
      send(engine, version == 0 ? OptionalLong.empty() : OptionalLong.of(version));
      return;
    }
    permit = Optional.empty();
    excluded.add(engine.life());
    line("not-permitted", "engine", engine.id(), "why", answer.reason());
    long suggestedMillis = answer.retryMillis();
    retryMillis = OptionalLong.of(Math.min(suggestedMillis, retryMillis.orElse(suggestedMillis)));
    if (context.now() - arrivedMillis > route.targetMillis() * ASKING_PART) {
      // The request has already waited long at one engine: the caller retries later instead of
      // waiting in another queue.
      giveUp(answer.reason());
    } else {
      next();
    }
  }

  private void send(FleetEndpoint endpoint, OptionalLong version) {
    excluded.add(endpoint.life());
    EndpointHead metadata =
        new EndpointHead(
            endpoint.id(),
            leftMillis(),
            permit.isPresent()
                ? OptionalInt.of(Math.min(GREATEST_URGENCY, route.priority()))
                : OptionalInt.empty(),
            version,
            resumeAfter);
    EndpointAttempt nextAttempt =
        new EndpointAttempt(forwarder, this, exchange, route, endpoint, metadata);
    attempt = Optional.of(nextAttempt);
    nextAttempt.start();
  }

  Optional<String> requestId() {
    return head.requestId();
  }

  /** Records the time until the first part of the response was written to the caller. */
  void begun() {
    context
        .metrics()
        .timer(MetricRegistry.name("forward", "first", route.kind().name()))
        .update(context.now() - arrivedMillis, TimeUnit.MILLISECONDS);
  }

  /** Handles the end of an attempt: makes another attempt, or ends the request. */
  void attemptEnded(
      EndpointAttempt ended, AttemptOutcome outcome, String reason, Optional<String> lastEvent) {
    FleetEndpoint endpoint = ended.endpoint();
    line(
        "attempt",
        "endpoint",
        endpoint.id(),
        "outcome",
        outcome,
        "why",
        reason,
        "status",
        ended.status(),
        "firstMs",
        ended.firstMillis(),
        "pauseMs",
        ended.longestPauseMillis(),
        "tookMs",
        ended.tookMillis());
    attempt = Optional.empty();
    releasePermit(ending(outcome, ended.status()), ended.firstMillis());
    if (done) {
      return;
    }
    if (outcome == AttemptOutcome.ANSWERED) {
      finish("answered");
      return;
    }
    progress.ended(outcome);
    lastEvent.ifPresent(id -> resumeAfter = Optional.of(id));
    if (progress.mayTryAgain() && mayResume()) {
      next();
    } else {
      giveUp(reason);
    }
  }

  private boolean mayResume() {
    return !exchange.isBegun() || route.resumable();
  }

  private static PermitEnd.Ending ending(AttemptOutcome outcome, int status) {
    if (outcome == AttemptOutcome.NOT_SENT) {
      return PermitEnd.Ending.UNREACHABLE;
    }
    if (outcome != AttemptOutcome.NOT_EXECUTED) {
      return PermitEnd.Ending.DONE;
    }
    return status == 421 ? PermitEnd.Ending.ABSENT : PermitEnd.Ending.REFUSED;
  }

  private void releasePermit(PermitEnd.Ending outcome, long firstEventMillis) {
    permit.ifPresent(
        current ->
            forwarder.permits().end(current.host(), current.ask(), outcome, firstEventMillis));
    permit = Optional.empty();
  }

  private void outOfTime() {
    if (done) {
      return;
    }
    boolean sent = attempt.map(EndpointAttempt::isSent).orElse(false);
    attempt.ifPresent(EndpointAttempt::cancel);
    attempt = Optional.empty();
    if (sent) {
      progress.ended(AttemptOutcome.UNKNOWN);
    }
    giveUp("out-of-time");
  }

  private void callerGone() {
    if (!done) {
      attempt.ifPresent(EndpointAttempt::cancel);
      attempt = Optional.empty();
      finish("caller-gone");
    }
  }

  /**
   * Ends the request without a response of an endpoint. The status is 503 with a retry delay only
   * if the request was certainly not executed, else 504 after a timeout, or 502. A response that
   * has already begun is aborted.
   */
  private void giveUp(String reason) {
    if (done) {
      return;
    }
    finish(reason);
    if (exchange.isBegun()) {
      exchange.abort();
    } else if (progress.isCertainlyNotRun()) {
      long maximumDelayMillis = Math.max(0, leftMillis()) / 3;
      long delayMillis = Math.min(retryMillis.orElse(RETRY_MILLIS), maximumDelayMillis);
      exchange.answer(503, Optional.of(delayMillis), reason);
    } else if (reason.equals("out-of-time")) {
      exchange.answer(504, Optional.empty(), reason);
    } else {
      exchange.answer(502, Optional.empty(), reason);
    }
  }

  private void finish(String outcome) {
    done = true;
    context.vertx().cancelTimer(timer);
    releasePermit(PermitEnd.Ending.DONE, 0);
    forwarder.count("ended." + outcome);
    line(
        "end",
        "outcome",
        outcome,
        "certainlyNotRun",
        progress.isCertainlyNotRun(),
        "tookMs",
        context.now() - arrivedMillis);
  }

  private void line(String event, Object... fields) {
    Object[] all = new Object[fields.length + 2];
    all[0] = "id";
    all[1] = head.requestId().orElse("-");
    System.arraycopy(fields, 0, all, 2, fields.length);
    context.log().line(event, all);
  }
}
