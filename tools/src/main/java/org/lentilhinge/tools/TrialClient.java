package org.lentilhinge.tools;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.lentilhinge.emulator.fleet.LoopbackFleet;

/** Sends a caller's requests to the entry hosts of a trial. */
final class TrialClient {

  private static final String LOOPBACK = "127.0.0.1";
  private static final String EVENT_PREFIX = "data: ";
  private static final String LAST_EVENT = "[DONE]";
  private static final int OK = 200;
  private static final long TIMEOUT_MILLIS = 30_000;
  private static final long READY_POLL_MILLIS = 100;

  private final Vertx vertx;
  private final HttpClient client;

  TrialClient(Vertx vertx) {
    this.vertx = vertx;
    this.client = vertx.createHttpClient();
  }

  /** Waits until a host reports that it is ready. */
  void awaitReady(int port) throws IOException {
    join(pollReady(port, TIMEOUT_MILLIS / READY_POLL_MILLIS));
  }

  private Future<Void> pollReady(int port, long attempts) {
    Future<Integer> status =
        request(port, HttpMethod.GET, "/health/ready")
            .compose(httpRequest -> httpRequest.send().map(HttpClientResponse::statusCode));
    return status
        .otherwise(0)
        .compose(
            code -> {
              if (code == OK) {
                return Future.succeededFuture();
              }
              return attempts == 0
                  ? Future.failedFuture("a host did not become ready in time")
                  : vertx.timer(READY_POLL_MILLIS).compose(unused -> pollReady(port, attempts - 1));
            });
  }

  /** Sends a question, and passes each token of the streamed response to a consumer on arrival. */
  void streamCompletion(
      int port, String model, int tokens, String question, Consumer<String> onToken)
      throws IOException {
    JsonObject message = new JsonObject().put("role", "user").put("content", question);
    JsonObject body =
        new JsonObject()
            .put("model", model)
            .put("max_tokens", tokens)
            .put("stream", true)
            .put("messages", new JsonArray().add(message));
    join(
        request(port, HttpMethod.POST, "/v1/chat/completions")
            .map(httpRequest -> httpRequest.putHeader("Content-Type", "application/json"))
            .compose(
                httpRequest ->
                    httpRequest
                        .send(body.toBuffer())
                        .compose(response -> stream(response, onToken))));
  }

  private static Future<Void> stream(HttpClientResponse response, Consumer<String> onToken) {
    if (response.statusCode() != OK) {
      return response.body().compose(body -> Future.failedFuture(body.toString()));
    }
    Promise<Void> completion = Promise.promise();
    RecordParser.newDelimited("\n", response)
        .exceptionHandler(completion::tryFail)
        .endHandler(unused -> completion.tryFail("the response ended before the last event"))
        .handler(line -> processLine(line.toString(), onToken, completion));
    return completion.future();
  }

  private static void processLine(String line, Consumer<String> onToken, Promise<Void> completion) {
    if (!line.startsWith(EVENT_PREFIX)) {
      return;
    }
    String event = line.substring(EVENT_PREFIX.length()).trim();
    if (event.equals(LAST_EVENT)) {
      completion.tryComplete();
      return;
    }
    JsonObject choice = new JsonObject(event).getJsonArray("choices").getJsonObject(0);
    String token = choice.getJsonObject("delta", new JsonObject()).getString("content");
    if (token != null) {
      onToken.accept(token);
    }
  }

  /** Requests a ticket, which serves as the idempotency key of one booking. */
  String requestTicket(int port) throws IOException {
    Buffer body =
        join(
            request(port, HttpMethod.POST, "/tickets")
                .compose(httpRequest -> httpRequest.send().compose(HttpClientResponse::body)));
    return body.toJsonObject().getString("ticket");
  }

  /** Books a work order and returns the status and body of the response. */
  String bookOrder(int port, String key, JsonObject order) throws IOException {
    return join(
        request(port, HttpMethod.POST, "/services/work-orders/orders")
            .map(httpRequest -> httpRequest.putHeader("Content-Type", "application/json"))
            .map(httpRequest -> httpRequest.putHeader("Idempotency-Key", key))
            .compose(
                httpRequest -> httpRequest.send(order.toBuffer()).compose(TrialClient::describe)));
  }

  private static Future<String> describe(HttpClientResponse response) {
    return response.body().map(body -> response.statusCode() + " " + body);
  }

  private Future<HttpClientRequest> request(int port, HttpMethod method, String path) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(LOOPBACK)
            .setPort(port)
            .setURI(path)
            .setTimeout(TIMEOUT_MILLIS)
            .putHeader("Authorization", "Bearer " + LoopbackFleet.SURVEY_KEY);
    return client.request(options);
  }

  private static <R> R join(Future<R> future) throws IOException {
    try {
      return future.toCompletionStage().toCompletableFuture().join();
    } catch (CompletionException exception) {
      throw new IOException(exception.getCause().getMessage(), exception.getCause());
    }
  }
}
