package org.lentilhinge.emulator.engine;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.rxjava3.CompletableHelper;
import io.vertx.rxjava3.SingleHelper;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.emulator.engine.EngineFaults.PlannedFault;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.runtime.engine.CompletionKind;
import org.lentilhinge.runtime.engine.VllmCodec;

/** Emulates a model engine over HTTP on a loopback port. */
public final class EngineServer {

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int FAILED = 500;
  private static final int UNAVAILABLE = 503;

  private final Vertx vertx;
  private final EngineSettings settings;
  private final LongSupplier nowMillis;
  private final EngineStatistics statistics = new EngineStatistics();
  private final EngineFaults faults = new EngineFaults();
  private final AdapterSlots adapters;
  private final EngineBatch batch;
  private HttpServer server;
  private FencingToken highestFencing;
  private int incarnation;
  private JsonObject cachedReport;
  private long reportAtMillis;

  /**
   * Creates an engine.
   *
   * @param vertx the Vert.x instance that runs the server
   * @param settings the engine's capacity and behaviour
   * @param weights the source of the adapters' weights
   * @param timer schedules the engine's decoding steps
   * @param nowMillis the clock of the load report, in milliseconds
   */
  public EngineServer(
      Vertx vertx,
      EngineSettings settings,
      WeightSource weights,
      StepTimer timer,
      LongSupplier nowMillis) {
    this.vertx = vertx;
    this.settings = settings;
    this.nowMillis = nowMillis;
    this.adapters = new AdapterSlots(settings.adapterSlots(), weights, statistics);
    this.batch = new EngineBatch(settings.batchSlots(), timer, statistics);
  }

  /**
   * Starts listening as a new incarnation with no adapter loaded.
   *
   * @param port the port, or 0 for any free port
   * @return the port
   */
  public Single<Integer> start(int port) {
    return SingleHelper.toSingle(
        handler -> {
          incarnation++;
          server = vertx.createHttpServer().requestHandler(this::handle);
          server.connectionHandler(ignored -> statistics.recordConnection());
          server.listen(port, "127.0.0.1").map(HttpServer::actualPort).onComplete(handler);
        });
  }

  /**
   * Stops like a killed process: closes all connections and drops all adapters and attempts.
   *
   * @return a Completable that completes when the port is free
   */
  public Completable stop() {
    return CompletableHelper.toCompletable(
        handler -> {
          batch.clear();
          adapters.clear();
          synchronized (this) {
            highestFencing = null;
            cachedReport = null;
          }
          server.close().onComplete(handler);
        });
  }

  /**
   * Returns the faults to inject.
   *
   * @return the faults
   */
  public EngineFaults faults() {
    return faults;
  }

  /**
   * Returns the counters of the engine's activity.
   *
   * @return the statistics
   */
  public EngineStatistics statistics() {
    return statistics;
  }

  private void handle(HttpServerRequest request) {
    if (faults.isStarting()) {
      reply(request, UNAVAILABLE, message("the engine is starting"));
      return;
    }
    switch (request.path()) {
      case "/v1/chat/completions" ->
          request.body().onSuccess(complete(request, CompletionKind.CHAT));
      case "/v1/completions" -> request.body().onSuccess(complete(request, CompletionKind.TEXT));
      case "/v1/load_lora_adapter" -> request.body().onSuccess(body -> load(request, body));
      case "/v1/unload_lora_adapter" -> request.body().onSuccess(body -> unload(request, body));
      case "/v1/cancel" -> request.body().onSuccess(body -> cancel(request, body));
      case "/v1/models" -> reply(request, OK, models());
      case "/load" -> reply(request, OK, report());
      default -> reply(request, NOT_FOUND, message("no such path"));
    }
  }

  private Handler<Buffer> complete(HttpServerRequest request, CompletionKind kind) {
    return buffer -> complete(request, kind, buffer.toJsonObject());
  }

  private void complete(HttpServerRequest request, CompletionKind kind, JsonObject body) {
    Optional<PlannedFault> fault = faults.pollStreamFault();
    if (fault.filter(planned -> planned.fault() == StreamFault.REFUSE).isPresent()) {
      reply(request, UNAVAILABLE, message("the engine is overloaded"));
      return;
    }
    String model = body.getString("model");
    AdapterVersion adapter = VllmCodec.decodeVersion(model);
    if (!adapters.isResident(adapter)) {
      reply(request, NOT_FOUND, message("The model `" + model + "` does not exist."));
      return;
    }
    String attemptId = request.getHeader(VllmCodec.ATTEMPT_HEADER);
    EngineAttempt attempt = new EngineAttempt(request, kind, attemptId, adapter, body, fault);
    statistics.recordAttempt(attempt.toAcceptedAttempt());
    request.response().closeHandler(ignored -> onDisconnect(attempt));
    attempt.startResponse();
    batch.add(attempt);
  }

  private void onDisconnect(EngineAttempt attempt) {
    if (!attempt.hasEnded()) {
      batch.remove(attempt);
    }
  }

  private void load(HttpServerRequest request, Buffer buffer) {
    if (!acceptsFencing(request)) {
      return;
    }
    AdapterVersion adapter = VllmCodec.decodeVersion(buffer.toJsonObject().getString("lora_name"));
    if (!adapters.hasSlotFor(adapter)) {
      reply(request, BAD_REQUEST, message("all adapter slots are in use"));
      return;
    }
    if (faults.pollLoadFault()) {
      reply(request, FAILED, message("adapter load failed"));
      return;
    }
    adapters
        .load(adapter)
        .subscribe(
            () -> reply(request, OK, message("Success: loaded " + adapter)),
            error -> reply(request, FAILED, message("adapter load failed")));
  }

  private void unload(HttpServerRequest request, Buffer buffer) {
    if (!acceptsFencing(request)) {
      return;
    }
    AdapterVersion adapter = VllmCodec.decodeVersion(buffer.toJsonObject().getString("lora_name"));
    boolean inUse = batch.isInUse(adapter);
    if (!adapters.unload(adapter)) {
      reply(request, NOT_FOUND, message("not loaded: " + adapter));
      return;
    }
    statistics.recordUnload(inUse);
    reply(request, OK, message("Success: unloaded " + adapter));
  }

  private void cancel(HttpServerRequest request, Buffer buffer) {
    boolean cancelled = batch.cancel(buffer.toJsonObject().getString("request_id"));
    reply(request, OK, new JsonObject().put("cancelled", cancelled));
  }

  /** Checks an order's fencing token; answers with status 409 if the token is too low. */
  private synchronized boolean acceptsFencing(HttpServerRequest request) {
    String header = request.getHeader(VllmCodec.FENCING_HEADER);
    if (settings.fencing() == FencingSupport.IGNORED || header == null) {
      return true;
    }
    FencingToken token = VllmCodec.decodeFencingToken(header);
    if (highestFencing != null && token.compareTo(highestFencing) < 0) {
      statistics.recordRejectedOrder();
      reply(
          request,
          CONFLICT,
          message("fencing token is too low").put("highest_fencing", highestFencing.toString()));
      return false;
    }
    highestFencing = token;
    return true;
  }

  private JsonObject models() {
    JsonArray data = new JsonArray();
    adapters
        .resident()
        .forEach(adapter -> data.add(new JsonObject().put("id", adapter.toString())));
    return new JsonObject().put("object", "list").put("data", data);
  }

  /** Returns the load report, which may be up to the configured lag old. */
  private synchronized JsonObject report() {
    long now = nowMillis.getAsLong();
    if (cachedReport == null || now - reportAtMillis >= settings.reportLagMillis()) {
      cachedReport = currentReport();
      reportAtMillis = now;
    }
    return cachedReport;
  }

  private JsonObject currentReport() {
    JsonArray resident = new JsonArray();
    adapters.resident().forEach(adapter -> resident.add(adapter.toString()));
    JsonArray attempts = new JsonArray();
    batch.attempts().forEach(attempts::add);
    JsonObject current =
        new JsonObject()
            .put("incarnation", settings.id() + "/" + incarnation)
            .put("running", batch.running())
            .put("waiting", batch.waiting())
            .put("resident", resident)
            .put("attempts", attempts);
    return highestFencing == null
        ? current
        : current.put("highest_fencing", highestFencing.toString());
  }

  private static JsonObject message(String text) {
    return new JsonObject().put("message", text);
  }

  private static void reply(HttpServerRequest request, int status, JsonObject body) {
    if (!request.response().closed()) {
      request.response().setStatusCode(status).putHeader("Content-Type", "application/json");
      request.response().end(body.toBuffer());
    }
  }
}
