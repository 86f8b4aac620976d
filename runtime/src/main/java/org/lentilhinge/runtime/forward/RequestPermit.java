package org.lentilhinge.runtime.forward;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.lentilhinge.customer.CallerIdentity;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.permit.CustomerStanding;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.PermitReturn;
import org.lentilhinge.permit.PermitTerms;

/** The permit that one request has requested or holds; at most one at a time. */
final class RequestPermit {

  /**
   * The maximum wait for a permit for a plain endpoint, in milliseconds. Another endpoint is tried
   * if the host that paces the requests does not answer.
   */
  private static final long PACING_TIMEOUT_MILLIS = 200;

  private final PermitClient permits;
  private final HostContext context;
  private final HostState state;
  private final RequestMetadata requestMetadata;
  private final RequestMetadata.Generation generation;
  private final ForwardRoute route;
  private final CallerIdentity identity;
  private final RequestLog log;
  private Optional<Permit> current = Optional.empty();

  private record Permit(String host, String incarnation, long permitId, boolean granted) {}

  /**
   * The times that the request has left.
   *
   * @param targetMillis the time until the target of the first event, in milliseconds
   * @param remainingMillis the time until the deadline, in milliseconds
   * @param maximumWaitMillis the longest expected wait for which the request is accepted, in
   *     milliseconds; 0 if there is no bound
   * @param repeated whether another engine has refused the request before
   */
  record Times(long targetMillis, long remainingMillis, long maximumWaitMillis, boolean repeated) {

    private Optional<PermitTerms> terms(Optional<CustomerStanding> standing) {
      return standing.isPresent() || maximumWaitMillis > 0 || repeated
          ? Optional.of(new PermitTerms(standing, maximumWaitMillis, repeated))
          : Optional.empty();
    }
  }

  RequestPermit(
      Forwarder forwarder,
      RequestMetadata requestMetadata,
      ForwardRoute route,
      CallerIdentity identity,
      RequestLog log) {
    this.permits = forwarder.permits();
    this.context = forwarder.context();
    this.state = forwarder.state();
    this.requestMetadata = requestMetadata;
    this.generation = requestMetadata.generation().orElse(RequestMetadata.Generation.UNKNOWN);
    this.route = route;
    this.identity = identity;
    this.log = log;
  }

  /** Returns the announced version of the requested adapter, or 0 if none was announced. */
  long adapterVersion() {
    return state.adapterVersion(generation.model(), generation.adapter());
  }

  /** Requests a permit for an engine, whose scheduler answers or whose host is lost. */
  void request(FleetEndpoint engine, Times times, Consumer<PermitAnswer> callback) {
    String host = state.schedulerHost(engine);
    PermitRequest request =
        new PermitRequest(
            permits.nextPermitId(),
            requestMetadata.requestId().orElse("-"),
            engine.incarnation(),
            generation.model(),
            generation.adapter(),
            adapterVersion(),
            generation.promptTokens(),
            generation.outputTokens(),
            identity.priority(route.priority()),
            times.targetMillis(),
            times.remainingMillis(),
            state.limits().find(engine.incarnation()),
            times.terms(standing(identity, route, times.remainingMillis(), state::relativeUse)));
    logRequest(engine, host, request);
    state
        .engineSelector()
        .recordRequest(engine.incarnation(), generation.adapter(), generation.promptTokens());
    long permitId = request.permitId();
    current = Optional.of(new Permit(host, engine.incarnation(), permitId, false));
    permits.request(
        host,
        request,
        answer -> {
          current =
              answer.granted()
                  ? Optional.of(new Permit(host, engine.incarnation(), permitId, true))
                  : Optional.empty();
          callback.accept(answer);
        });
  }

  /**
   * Returns the standing of the request's customer. A caller that returns after a refusal states a
   * shorter time until its deadline than the timeout of the route.
   */
  static Optional<CustomerStanding> standing(
      CallerIdentity identity,
      ForwardRoute route,
      long remainingMillis,
      ToDoubleFunction<String> relativeUse) {
    long elapsedMillis = Math.max(0, route.timeoutMillis() - remainingMillis);
    return identity
        .customerName()
        .map(
            name ->
                new CustomerStanding(
                    name,
                    route.priority(),
                    relativeUse.applyAsDouble(name),
                    Math.min(elapsedMillis, route.targetMillis())));
  }

  private void logRequest(FleetEndpoint engine, String host, PermitRequest request) {
    log.write(
        "ask",
        "engine",
        engine.id(),
        "desk",
        host,
        "ask",
        request.permitId(),
        "adapter",
        generation.adapter(),
        "version",
        request.version(),
        "tokens",
        generation.promptTokens() + "+" + generation.outputTokens());
  }

  /** Requests a permit for a plain endpoint, with a refusal if the host does not answer soon. */
  void requestPaced(FleetEndpoint endpoint, Times times, Consumer<PermitAnswer> callback) {
    request(endpoint, times, callback);
    long permitId = current.map(Permit::permitId).orElse(0L);
    context
        .vertx()
        .setTimer(
            PACING_TIMEOUT_MILLIS,
            id -> {
              if (isWaiting(permitId)) {
                release(PermitReturn.Outcome.DONE, 0);
                callback.accept(new PermitAnswer(permitId, false, 0, "pacer-silent"));
              }
            });
  }

  private boolean isWaiting(long permitId) {
    return current.filter(permit -> permit.permitId() == permitId && !permit.granted()).isPresent();
  }

  /** Returns the permit, or withdraws the request for it. */
  void release(PermitReturn.Outcome outcome, long firstEventMillis) {
    current.ifPresent(
        permit -> permits.release(permit.host(), permit.permitId(), outcome, firstEventMillis));
    current
        .filter(Permit::granted)
        .ifPresent(permit -> state.limits().recordEnd(permit.incarnation(), context.now()));
    current = Optional.empty();
  }
}
