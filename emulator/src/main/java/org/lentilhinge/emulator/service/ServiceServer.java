package org.lentilhinge.emulator.service;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.rxjava3.CompletableHelper;
import io.vertx.rxjava3.SingleHelper;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import org.lentilhinge.configuration.Deduplication;
import org.lentilhinge.emulator.engine.MonitorWait;

/** Emulates a plain service over HTTP on a loopback port. */
public final class ServiceServer {

  private static final int CREATED = 201;
  private static final int REDIRECT = 307;
  private static final String KEY_HEADER = "Idempotency-Key";

  private final Vertx vertx;
  private final Deduplication deduplication;
  private final Map<String, Integer> executions = new HashMap<>();
  private final Queue<ServiceFault> plannedFaults = new ArrayDeque<>();
  private int connections;
  private int paddingBytes;
  private HttpServer server;

  /**
   * Creates a service.
   *
   * @param vertx the Vert.x instance that runs the server
   * @param deduplication how the service handles a repeated idempotency key
   */
  public ServiceServer(Vertx vertx, Deduplication deduplication) {
    this.vertx = vertx;
    this.deduplication = deduplication;
  }

  /**
   * Starts listening.
   *
   * @param port the port, or 0 for any free port
   * @return the port
   */
  public Single<Integer> start(int port) {
    return SingleHelper.toSingle(
        handler -> {
          server = vertx.createHttpServer().requestHandler(this::handle);
          server.connectionHandler(ignored -> countConnection());
          server.listen(port, "127.0.0.1").map(HttpServer::actualPort).onComplete(handler);
        });
  }

  /**
   * Closes the port and all connections. The counters keep their values.
   *
   * @return a Completable that completes when the port is free
   */
  public Completable stop() {
    return CompletableHelper.toCompletable(handler -> server.close().onComplete(handler));
  }

  /**
   * Plans a fault for the next call that has no planned fault yet.
   *
   * @param fault the fault
   */
  public synchronized void planFault(ServiceFault fault) {
    plannedFaults.add(fault);
  }

  /**
   * Sets the padding that is added to each response.
   *
   * @param bytes the length of the padding in bytes
   */
  public synchronized void setPadding(int bytes) {
    paddingBytes = bytes;
  }

  /**
   * Returns the number of connections that were opened.
   *
   * @return the number of connections
   */
  public synchronized int connections() {
    return connections;
  }

  /**
   * Returns how often calls with an idempotency key were executed.
   *
   * @param key the idempotency key, or an empty string for calls without a key
   * @return the number of executions
   */
  public synchronized int executions(String key) {
    return executions.getOrDefault(key, 0);
  }

  /**
   * Returns how often calls were executed in total.
   *
   * @return the number of executions
   */
  public synchronized int executions() {
    return executions.values().stream().mapToInt(Integer::intValue).sum();
  }

  /**
   * Waits until calls with an idempotency key have been executed a number of times.
   *
   * @param key the idempotency key
   * @param count the number of executions
   * @throws InterruptedException if the wait is interrupted
   */
  public synchronized void awaitExecutions(String key, int count) throws InterruptedException {
    MonitorWait.until(this, () -> executions.getOrDefault(key, 0) >= count);
  }

  private void handle(HttpServerRequest request) {
    request.body().onSuccess(body -> respond(request));
  }

  private void respond(HttpServerRequest request) {
    ServiceFault fault = pollFault();
    if (fault == ServiceFault.DROP) {
      request.connection().close();
      return;
    }
    String key = request.getHeader(KEY_HEADER) == null ? "" : request.getHeader(KEY_HEADER);
    int run = execute(key);
    JsonObject responseBody =
        new JsonObject().put("call", request.method() + " " + request.path()).put("run", run);
    if (paddingBytes() > 0) {
      responseBody.put("padding", "x".repeat(paddingBytes()));
    }
    if (fault == null) {
      reply(request.response(), responseBody);
    } else {
      respondWithFault(request, responseBody, fault);
    }
  }

  private void respondWithFault(
      HttpServerRequest request, JsonObject responseBody, ServiceFault fault) {
    HttpServerResponse response = request.response();
    switch (fault) {
      case RESET -> request.connection().close();
      case PARTIAL -> {
        Buffer body = responseBody.toBuffer();
        response.setStatusCode(CREATED);
        response.putHeader("Content-Length", Integer.toString(body.length()));
        response
            .write(body.getBuffer(0, body.length() / 2))
            .onComplete(ignored -> request.connection().close());
      }
      case REDIRECT -> response.setStatusCode(REDIRECT).putHeader("Location", "/elsewhere").end();
      case CLOSE_IDLE ->
          reply(response, responseBody).onComplete(ignored -> request.connection().close());
      default -> {
        // SILENT: the call has been executed, and no response is sent.
      }
    }
  }

  private static Future<Void> reply(HttpServerResponse response, JsonObject responseBody) {
    response.setStatusCode(CREATED).putHeader("Content-Type", "application/json");
    return response.end(responseBody.toBuffer());
  }

  private synchronized void countConnection() {
    connections++;
  }

  private synchronized int paddingBytes() {
    return paddingBytes;
  }

  private synchronized ServiceFault pollFault() {
    return plannedFaults.poll();
  }

  private synchronized int execute(String key) {
    boolean repeated = executions.containsKey(key) && !key.isEmpty();
    if (!repeated || deduplication == Deduplication.NONE) {
      executions.merge(key, 1, Integer::sum);
      notifyAll();
    }
    return executions.get(key);
  }
}
