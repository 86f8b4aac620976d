package org.lentilhinge.runtime.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.configuration.Service;
import org.lentilhinge.identity.ServiceId;
import org.lentilhinge.runtime.decision.Decision;
import org.lentilhinge.runtime.decision.DecisionKind;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.metric.MetricNames;
import org.lentilhinge.runtime.service.ServiceAttemptResult;
import org.lentilhinge.runtime.service.ServiceResponse;

/** Serves calls of plain services under {@code /services/NAME/}. */
public final class ServiceRoutes implements Routes {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final String PREFIX = "/services/";
  private static final String PATTERN = "/services/:service/*";
  private static final String KEY_HEADER = "Idempotency-Key";
  private static final int MAXIMUM_KEY_LENGTH = 255;
  private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;
  private static final List<String> FORWARDED_REQUEST_HEADERS =
      List.of("Content-Type", "Accept", KEY_HEADER);
  private static final List<String> FORWARDED_RESPONSE_HEADERS =
      List.of("Content-Type", "Location", "ETag", "Retry-After");

  private final GatewaySettings settings;
  private final Admission admission;
  private final ServiceDispatcher dispatcher;
  private final DecisionLog decisions;
  private final MetricRegistry metrics;

  /**
   * Creates the routes.
   *
   * @param settings the settings of the gateway, of which only the maximum body size is used
   * @param admission admits the requests
   * @param dispatcher runs the calls
   * @param decisions the decision log, which records each call
   * @param metrics the registry that counts the outcomes
   */
  public ServiceRoutes(
      GatewaySettings settings,
      Admission admission,
      ServiceDispatcher dispatcher,
      DecisionLog decisions,
      MetricRegistry metrics) {
    this.settings = settings;
    this.admission = admission;
    this.dispatcher = dispatcher;
    this.decisions = decisions;
    this.metrics = metrics;
  }

  @Override
  public void mount(Router router) {
    // A separate route, because Vert.x rejects a body handler after other handlers of the same
    // route.
    router.route(PATTERN).handler(admission::admit);
    router
        .route(PATTERN)
        .handler(BodyHandler.create(false).setBodyLimit(settings.maximumBodyBytes()))
        .handler(this::handleCall);
  }

  private void handleCall(RoutingContext context) {
    AdmittedRequest admitted = Admission.admitted(context);
    ServiceRequest request;
    try {
      request = createRequest(context, admitted);
    } catch (ProblemException exception) {
      admission.refuse(context, admitted, exception.problem());
      return;
    }
    // A call continues after its caller has disconnected, so a stop has to wait until it ends.
    dispatcher
        .call(request)
        .doFinally(admission.retainAfterDisconnect(context)::run)
        .subscribe(
            result -> writeResult(context, request, result),
            error -> admission.refuse(context, admitted, problem(error)));
  }

  private static ServiceRequest createRequest(RoutingContext context, AdmittedRequest admitted) {
    Service service = findService(context, admitted);
    // The normalized path is both matched and sent, so that a differently encoded path cannot
    // bypass the declarations of the service.
    String path = pathWithinService(context, service);
    String method = context.request().method().name();
    boolean repeatable = service.isRepeatable(method, path);
    String query = context.request().query();
    Buffer body = context.body().buffer();
    return new ServiceRequest(
        admitted.request(),
        admitted.caller().id(),
        service,
        method,
        query == null ? path : path + "?" + query,
        selectHeaders(context.request().headers(), FORWARDED_REQUEST_HEADERS),
        body == null ? Buffer.buffer() : body,
        idempotencyKey(context, repeatable),
        repeatable);
  }

  private static Service findService(RoutingContext context, AdmittedRequest admitted) {
    String name = context.pathParam("service");
    Service service = null;
    try {
      service = admitted.configuration().services().get(new ServiceId(name));
    } catch (IllegalArgumentException exception) {
      LOGGER.atFine().log("invalid service name: %s", name);
    }
    if (service == null) {
      throw problem(ProblemType.NOT_FOUND, "there is no such service");
    }
    if (!service.callers().contains(admitted.caller().id())) {
      throw problem(ProblemType.SERVICE_FORBIDDEN, "service " + service.id());
    }
    return service;
  }

  private static String pathWithinService(RoutingContext context, Service service) {
    String prefix = PREFIX + service.id();
    String path = context.normalizedPath();
    if (!path.startsWith(prefix + "/")) {
      throw problem(ProblemType.NOT_FOUND, "the path is outside the service");
    }
    return path.substring(prefix.length());
  }

  private static Optional<String> idempotencyKey(RoutingContext context, boolean repeatable) {
    String key = context.request().getHeader(KEY_HEADER);
    if (key != null && (key.isEmpty() || key.length() > MAXIMUM_KEY_LENGTH)) {
      throw problem(
          ProblemType.KEY_MISSING, "the key must have 1 to " + MAXIMUM_KEY_LENGTH + " characters");
    }
    if (key == null && !repeatable) {
      throw problem(ProblemType.KEY_MISSING, "this call needs the header " + KEY_HEADER);
    }
    return Optional.ofNullable(key);
  }

  private void writeResult(
      RoutingContext context, ServiceRequest request, ServiceAttemptResult result) {
    decisions.write(
        Decision.of(DecisionKind.BOOKING, result.execution().label() + ": " + result.detail())
            .withRequest(request.request())
            .withCaller(request.caller()));
    switch (result.execution()) {
      case NOT_RUN -> {
        metrics.counter(MetricNames.REFUSED_CALLS).inc();
        ProblemWriter.write(
            context.response(),
            Problem.of(ProblemType.SERVICE_UNAVAILABLE, "the call was not sent")
                .withRetryAfterMillis(
                    result.retryAfterMillis().orElse(DEFAULT_RETRY_AFTER_MILLIS)));
      }
      case UNKNOWN -> {
        metrics.counter(MetricNames.UNKNOWN_CALLS).inc();
        ProblemWriter.write(context.response(), unknownOutcome(result));
      }
      default -> {
        metrics.counter(MetricNames.ANSWERED_CALLS).inc();
        result
            .response()
            .ifPresentOrElse(
                response -> writeResponse(context.response(), response),
                () ->
                    ProblemWriter.write(
                        context.response(),
                        Problem.of(
                            ProblemType.ANSWER_NOT_KEPT,
                            "the response was too long to be stored")));
      }
    }
  }

  private static void writeResponse(HttpServerResponse response, ServiceResponse serviceResponse) {
    if (response.closed()) {
      return;
    }
    response.setStatusCode(serviceResponse.status());
    response.headers().addAll(selectHeaders(serviceResponse.headers(), FORWARDED_RESPONSE_HEADERS));
    response.end(serviceResponse.body());
  }

  private static MultiMap selectHeaders(MultiMap headers, List<String> names) {
    MultiMap selected = MultiMap.caseInsensitiveMultiMap();
    names.forEach(
        name ->
            Optional.ofNullable(headers.get(name)).ifPresent(value -> selected.add(name, value)));
    return selected;
  }

  /**
   * Describes an unknown outcome. The problem has no retry time if a retry cannot yield more
   * information.
   */
  private static Problem unknownOutcome(ServiceAttemptResult result) {
    Problem problem = Problem.of(ProblemType.OUTCOME_UNKNOWN, "the call may have run");
    return result.retryAfterMillis().isPresent()
        ? problem.withRetryAfterMillis(result.retryAfterMillis().getAsLong())
        : problem;
  }

  private static Problem problem(Throwable error) {
    if (error instanceof ProblemException problemException) {
      return problemException.problem();
    }
    LOGGER.atSevere().withCause(error).log("service call failed with an unexpected error");
    return Problem.of(ProblemType.INTERNAL, "unexpected error, see the log of the host");
  }

  private static ProblemException problem(ProblemType type, String detail) {
    return new ProblemException(Problem.of(type, detail));
  }
}
