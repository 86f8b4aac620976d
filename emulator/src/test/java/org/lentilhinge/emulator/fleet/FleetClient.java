package org.lentilhinge.emulator.fleet;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

/** Sends a caller's requests to the hosts of a fleet. */
final class FleetClient {

  private static final int OK = 200;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  HttpResponse<String> complete(int port, String model, int tokens)
      throws IOException, InterruptedException {
    return client.send(completion(port, model, tokens), HttpResponse.BodyHandlers.ofString());
  }

  CompletableFuture<HttpResponse<String>> completeAsync(int port, String model, int tokens) {
    return client.sendAsync(completion(port, model, tokens), HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> book(int port, String key, String body)
      throws IOException, InterruptedException {
    HttpRequest request =
        request(port, "/services/work-orders/orders")
            .header("Content-Type", "application/json")
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  String ticket(int port) throws IOException, InterruptedException {
    HttpRequest request =
        request(port, "/tickets").POST(HttpRequest.BodyPublishers.noBody()).build();
    String body = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    return new JsonObject(body).getString("ticket");
  }

  JsonObject status(int port) throws IOException, InterruptedException {
    HttpRequest request = request(port, "/status").GET().build();
    return new JsonObject(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
  }

  boolean isReady(int port) throws IOException, InterruptedException {
    HttpRequest request = request(port, "/health/ready").GET().build();
    return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == OK;
  }

  private static HttpRequest completion(int port, String model, int tokens) {
    JsonObject message = new JsonObject().put("role", "user").put("content", "Crack at 12 m");
    JsonObject body =
        new JsonObject()
            .put("model", model)
            .put("min_tokens", tokens)
            .put("max_tokens", tokens)
            .put("stream", true)
            .put("messages", new JsonArray().add(message));
    return request(port, "/v1/chat/completions")
        .header("Content-Type", "application/json")
        .POST(HttpRequest.BodyPublishers.ofString(body.encode()))
        .build();
  }

  private static HttpRequest.Builder request(int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
        .header("Authorization", "Bearer " + LoopbackFleet.SURVEY_KEY);
  }
}
