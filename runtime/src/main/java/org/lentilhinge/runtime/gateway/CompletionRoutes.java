package org.lentilhinge.runtime.gateway;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Flowable;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.lentilhinge.configuration.Policy;
import org.lentilhinge.routing.RequestAttributes;
import org.lentilhinge.runtime.engine.CompletionKind;

/** Serves the chat and text completion interfaces of OpenAI. */
public final class CompletionRoutes implements Routes {

  private static final long MILLIS_PER_SECOND = 1_000;

  private final GatewaySettings settings;
  private final Admission admission;
  private final Classifier classifier;
  private final AttemptRunner runner;
  private final MetricRegistry metrics;
  private final LongSupplier monotonicMillis;
  private final LongSupplier wallMillis;

  /**
   * Creates the routes.
   *
   * @param settings the settings of the gateway, of which only the maximum body size is used
   * @param admission admits the requests
   * @param classifier selects the adapter version and urgency of each request
   * @param runner runs the completions
   * @param metrics the registry that measures the responses
   * @param monotonicMillis the host's monotonic clock, in milliseconds
   * @param wallMillis the wall clock, in milliseconds since 1970
   */
  public CompletionRoutes(
      GatewaySettings settings,
      Admission admission,
      Classifier classifier,
      AttemptRunner runner,
      MetricRegistry metrics,
      LongSupplier monotonicMillis,
      LongSupplier wallMillis) {
    this.settings = settings;
    this.admission = admission;
    this.classifier = classifier;
    this.runner = runner;
    this.metrics = metrics;
    this.monotonicMillis = monotonicMillis;
    this.wallMillis = wallMillis;
  }

  @Override
  public void mount(Router router) {
    for (CompletionKind kind : CompletionKind.values()) {
      // A separate route, because Vert.x rejects a body handler after other handlers of the same
      // route.
      router.post(kind.path()).handler(admission::admit);
      router
          .post(kind.path())
          .handler(BodyHandler.create(false).setBodyLimit(settings.maximumBodyBytes()))
          .handler(context -> complete(context, kind));
      router.route(kind.path()).handler(CompletionRoutes::rejectMethod);
    }
  }

  private static void rejectMethod(RoutingContext context) {
    context.response().putHeader("Allow", "POST");
    String detail = context.request().method() + " is not offered";
    ProblemWriter.write(context.response(), Problem.of(ProblemType.METHOD_NOT_ALLOWED, detail));
  }

  private void complete(RoutingContext context, CompletionKind kind) {
    AdmittedRequest admitted = Admission.admitted(context);
    JsonObject body;
    try {
      body = CompletionParser.parse(kind, context.body().buffer());
    } catch (ProblemException exception) {
      admission.refuse(context, admitted, exception.problem());
      return;
    }
    RequestAttributes attributes = CompletionParser.attributes(body, context.request().headers());
    Optional<Classification> classification =
        classifier.classify(admitted.configuration(), admitted.caller().id(), attributes);
    if (classification.isEmpty()) {
      String detail = "no rule of the caller matches the request's model and attributes";
      admission.refuse(context, admitted, Problem.of(ProblemType.NO_RULE, detail));
      return;
    }
    respond(context, createJob(admitted, classification.get(), kind, body));
  }

  private CompletionJob createJob(
      AdmittedRequest admitted,
      Classification classification,
      CompletionKind kind,
      JsonObject body) {
    Policy policy = admitted.configuration().policy();
    return new CompletionJob(
        admitted.request(),
        admitted.caller().id(),
        classification.adapter(),
        classification.urgency(),
        kind,
        body,
        monotonicMillis.getAsLong(),
        policy.maximumQueueMillis(),
        policy.maximumRequestMillis());
  }

  private void respond(RoutingContext context, CompletionJob job) {
    long createdSeconds = wallMillis.getAsLong() / MILLIS_PER_SECOND;
    ResponseFormat format =
        new ResponseFormat(job.kind(), job.request(), job.adapter(), createdSeconds);
    ResponseMetrics responseMetrics = new ResponseMetrics(metrics, monotonicMillis);
    ResponseSubscriber subscriber =
        job.body().getBoolean("stream", false)
            ? new StreamedResponseSubscriber(
                context.response(), format, responseMetrics, includesUsage(job.body()))
            : new BufferedResponseSubscriber(context.response(), format, responseMetrics);
    Flowable<CompletionChunk> completion = runner.run(job);
    completion.subscribe(subscriber);
  }

  private static boolean includesUsage(JsonObject body) {
    return body.getJsonObject("stream_options", new JsonObject())
        .getBoolean("include_usage", false);
  }
}
