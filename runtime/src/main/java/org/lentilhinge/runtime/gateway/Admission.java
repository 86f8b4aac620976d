package org.lentilhinge.runtime.gateway;

import com.codahale.metrics.MetricRegistry;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import java.util.function.Supplier;
import org.lentilhinge.configuration.Caller;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.runtime.decision.Decision;
import org.lentilhinge.runtime.decision.DecisionKind;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.metric.MetricNames;

/**
 * Admits requests before their body is read: assigns request ids, authenticates callers and limits
 * the number of concurrent requests of each caller. All routes of a gateway share one instance.
 */
public final class Admission {

  private static final String ADMITTED_KEY = "lentilhinge.admitted";
  private static final String RETAINED_KEY = "lentilhinge.kept";
  private static final long STOPPING_RETRY_AFTER_MILLIS = 1_000;
  private static final long NOT_READY_RETRY_AFTER_MILLIS = 2_000;
  private static final long CONCURRENCY_RETRY_AFTER_MILLIS = 1_000;

  private final Supplier<Configuration> configuration;
  private final Supplier<RequestId> requestIds;
  private final RunningRequests runningRequests;
  private final DecisionLog decisions;
  private final MetricRegistry metrics;
  private final CallerAuthenticator authenticator = new CallerAuthenticator();

  /**
   * Creates an admission.
   *
   * @param configuration supplies the applied configuration
   * @param requestIds supplies the request ids
   * @param runningRequests the registry of running requests
   * @param decisions the decision log, which records each refusal
   * @param metrics the registry that counts requests and refusals
   */
  public Admission(
      Supplier<Configuration> configuration,
      Supplier<RequestId> requestIds,
      RunningRequests runningRequests,
      DecisionLog decisions,
      MetricRegistry metrics) {
    this.configuration = configuration;
    this.requestIds = requestIds;
    this.runningRequests = runningRequests;
    this.decisions = decisions;
    this.metrics = metrics;
    metrics.gauge(MetricNames.RUNNING, () -> runningRequests::size);
  }

  /**
   * Admits a request and passes it on to the next handler, or responds with a problem.
   *
   * @param context the routing context of the request
   */
  public void admit(RoutingContext context) {
    metrics.counter(MetricNames.REQUESTS).inc();
    RequestId request = requestIds.get();
    Configuration current = configuration.get();
    Optional<Problem> problem = hostProblem(current);
    if (problem.isPresent()) {
      refuse(context, Decision.of(DecisionKind.REFUSE, "").withRequest(request), problem.get());
      return;
    }
    String authorization = context.request().getHeader("Authorization");
    Optional<Caller> caller = authenticator.authenticate(current, authorization);
    if (caller.isEmpty()) {
      refuse(
          context,
          Decision.of(DecisionKind.REFUSE, "").withRequest(request),
          Problem.of(ProblemType.UNAUTHENTICATED, "no caller has this key"));
      return;
    }
    register(context, new AdmittedRequest(request, caller.get(), current));
  }

  /** Returns the admitted request that {@link #admit} stored in the context. */
  static AdmittedRequest admitted(RoutingContext context) {
    return context.get(ADMITTED_KEY);
  }

  /**
   * Counts a request as running even after its caller has disconnected, until the returned action
   * is run.
   */
  Runnable retainAfterDisconnect(RoutingContext context) {
    context.put(RETAINED_KEY, true);
    RequestId request = admitted(context).request();
    return () -> runningRequests.remove(request);
  }

  /** Responds to an admitted request with a problem and logs the refusal. */
  void refuse(RoutingContext context, AdmittedRequest admitted, Problem problem) {
    refuse(
        context,
        Decision.of(DecisionKind.REFUSE, "")
            .withRequest(admitted.request())
            .withCaller(admitted.caller().id()),
        problem);
  }

  private void refuse(RoutingContext context, Decision decision, Problem problem) {
    metrics.counter(MetricNames.REFUSALS).inc();
    String reason = problem.type().title() + ": " + problem.detail();
    decisions.write(decision.withReason(reason));
    ProblemWriter.write(context.response(), problem);
  }

  private Optional<Problem> hostProblem(Configuration current) {
    if (runningRequests.isDraining()) {
      return Optional.of(
          Problem.of(ProblemType.STOPPING, "retry on another host")
              .withRetryAfterMillis(STOPPING_RETRY_AFTER_MILLIS));
    }
    if (current.version().equals(ConfigurationVersion.NONE)) {
      return Optional.of(
          Problem.of(ProblemType.NOT_READY, "no configuration has been applied yet")
              .withRetryAfterMillis(NOT_READY_RETRY_AFTER_MILLIS));
    }
    return Optional.empty();
  }

  private void register(RoutingContext context, AdmittedRequest admitted) {
    if (!runningRequests.tryAdd(admitted.request(), admitted.caller())) {
      refuse(
          context,
          admitted,
          Problem.of(
                  ProblemType.TOO_MANY_REQUESTS,
                  "at most " + admitted.caller().maximumConcurrent() + " at once")
              .withRetryAfterMillis(CONCURRENCY_RETRY_AFTER_MILLIS));
      return;
    }
    context.put(ADMITTED_KEY, admitted);
    context.addEndHandler(ignored -> unregister(context, admitted));
    context.next();
  }

  private void unregister(RoutingContext context, AdmittedRequest admitted) {
    if (context.get(RETAINED_KEY) == null) {
      runningRequests.remove(admitted.request());
    }
  }
}
