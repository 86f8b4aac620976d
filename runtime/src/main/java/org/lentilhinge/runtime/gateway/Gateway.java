package org.lentilhinge.runtime.gateway;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.rxjava3.CompletableHelper;
import io.vertx.rxjava3.SingleHelper;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.runtime.decision.Decision;
import org.lentilhinge.runtime.decision.DecisionKind;
import org.lentilhinge.runtime.decision.DecisionLog;

/**
 * The HTTP server for callers.
 *
 * <p>To assemble a host, create one {@link RunningRequests} and one {@link Admission}; pass both to
 * a {@link CompletionRoutes} with a {@link Classifier} and an {@link AttemptRunner}, and to a
 * {@link ServiceRoutes} with a {@link ServiceDispatcher}; add {@link OperationsRoutes} with a
 * {@link HostStatus}; pass the list to the gateway. The gateway must be created and started on the
 * Vert.x context of the host's other components; its handlers run on that context. A {@link
 * Dispatcher} may complete its results on any thread.
 */
public final class Gateway {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final Vertx vertx;
  private final GatewaySettings settings;
  private final RunningRequests runningRequests;
  private final List<Routes> routes;
  private final DecisionLog decisions;
  private final Scheduler scheduler;
  private HttpServer server;

  /**
   * Creates a gateway.
   *
   * @param vertx runs the server
   * @param settings the address to listen on, and the limits
   * @param runningRequests the registry of running requests, which is drained on stop
   * @param routes the groups of paths to serve
   * @param decisions the decision log, which records the requests that a stop interrupts
   * @param scheduler the scheduler of the stop timeout
   */
  public Gateway(
      Vertx vertx,
      GatewaySettings settings,
      RunningRequests runningRequests,
      List<Routes> routes,
      DecisionLog decisions,
      Scheduler scheduler) {
    this.vertx = vertx;
    this.settings = settings;
    this.runningRequests = runningRequests;
    this.routes = List.copyOf(routes);
    this.decisions = decisions;
    this.scheduler = scheduler;
  }

  /**
   * Starts listening.
   *
   * @return the port; fails with a {@link java.net.BindException} if it is in use
   */
  public Single<Integer> start() {
    return SingleHelper.toSingle(handler -> listen().onComplete(handler));
  }

  /**
   * Refuses new requests, waits for the running requests to end, and closes the server.
   *
   * @param timeoutMillis the maximum wait for running requests, in milliseconds; requests that are
   *     still running after that time are logged one by one and interrupted
   * @return completes when the server is closed
   */
  public Completable stop(long timeoutMillis) {
    return runningRequests
        .drain()
        .timeout(
            timeoutMillis,
            TimeUnit.MILLISECONDS,
            scheduler,
            Completable.fromAction(this::logInterruptedRequests))
        .andThen(CompletableHelper.toCompletable(handler -> close().onComplete(handler)));
  }

  private Future<Integer> listen() {
    HttpServerOptions options =
        new HttpServerOptions()
            .setHost(settings.address())
            .setPort(settings.port())
            .setMaxHeaderSize(settings.maximumHeaderBytes())
            .setIdleTimeout(settings.idleTimeoutSeconds())
            .setTcpNoDelay(true);
    server = vertx.createHttpServer(options).requestHandler(router());
    server.invalidRequestHandler(Gateway::writeInvalidRequestProblem);
    return server.listen().map(HttpServer::actualPort);
  }

  private Future<Void> close() {
    return server == null ? Future.succeededFuture() : server.close();
  }

  private Router router() {
    Router router = Router.router(vertx);
    routes.forEach(group -> group.mount(router));
    router.errorHandler(
        404, context -> writeProblem(context, Problem.of(ProblemType.NOT_FOUND, "no such path")));
    router.errorHandler(
        405,
        context ->
            writeProblem(
                context,
                Problem.of(ProblemType.METHOD_NOT_ALLOWED, "method not supported by this path")));
    router.errorHandler(
        413,
        context ->
            writeProblem(
                context,
                Problem.of(
                    ProblemType.BODY_TOO_LARGE,
                    "at most " + settings.maximumBodyBytes() + " bytes")));
    router.errorHandler(500, Gateway::writeInternalProblem);
    return router;
  }

  private void logInterruptedRequests() {
    runningRequests
        .requests()
        .forEach(
            request ->
                decisions.write(
                    Decision.of(DecisionKind.REFUSE, "interrupted by the stop timeout")
                        .withRequest(request)));
  }

  private static void writeProblem(RoutingContext context, Problem problem) {
    ProblemWriter.write(context.response(), problem);
  }

  private static void writeInternalProblem(RoutingContext context) {
    LOGGER.atSevere().withCause(context.failure()).log("request failed with an unexpected error");
    writeProblem(
        context, Problem.of(ProblemType.INTERNAL, "unexpected error, see the log of the host"));
  }

  /** Responds to a request that the HTTP server could not decode. */
  private static void writeInvalidRequestProblem(HttpServerRequest request) {
    String cause = String.valueOf(request.decoderResult().cause());
    ProblemType type =
        cause.contains("TooLongHttp") ? ProblemType.HEADER_TOO_LARGE : ProblemType.MALFORMED_BODY;
    ProblemWriter.write(request.response(), Problem.of(type, "the request's head is unreadable"));
  }
}
