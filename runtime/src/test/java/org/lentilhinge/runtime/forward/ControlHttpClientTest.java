package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests the time limit of the host's own calls over sockets. */
public class ControlHttpClientTest {

  private static final long TIMEOUT_MILLIS = 400;
  private static final int PARTS = 20;

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private Future<ControlResponse> read(ScriptedEndpoint endpoint) {
    LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    EndpointPool pool =
        new EndpointPool(vertx, 1_000, clock, new OrderedResponseMatcher(), address -> {});
    return new ControlHttpClient(vertx, pool, clock, ResponseMemory.ofHeap())
        .read(endpoint.address(), "/", TIMEOUT_MILLIS);
  }

  private void writeParts(NetSocket socket, int left) {
    if (left > 0) {
      socket.write("x");
      vertx.setTimer(TIMEOUT_MILLIS / 10, id -> writeParts(socket, left - 1));
    }
  }

  // Large configurations were cut after a second on busy links, read again, and never arrived.
  @Test
  public void responseThatMakesProgressIsNotCut() {
    ScriptedEndpoint steady =
        new ScriptedEndpoint(
            vertx,
            (socket, request) -> {
              socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + PARTS + "\r\n\r\n");
              writeParts(socket, PARTS);
            });
    ControlResponse response = read(steady).toCompletionStage().toCompletableFuture().join();
    assertEquals(response.body().length(), PARTS);
  }

  @Test
  public void responseWithoutProgressIsCut() throws InterruptedException {
    ScriptedEndpoint stalled =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + PARTS + "\r\n\r\nx"));
    try {
      read(stalled).toCompletionStage().toCompletableFuture().join();
      throw new AssertionError("an incomplete response was accepted");
    } catch (CompletionException expected) {
      assertTrue(expected.getMessage().contains("timed out"), expected.getMessage());
    }
    assertTrue(stalled.awaitClosed());
  }

  // An order was sent although its host had lost the engine while the connection was opened.
  @Test
  public void callThatMayNoLongerBeMadeIsNotSent() throws InterruptedException {
    AtomicInteger requests = new AtomicInteger();
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(vertx, (socket, request) -> requests.incrementAndGet());
    LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    ControlHttpClient client =
        new ControlHttpClient(
            vertx,
            new EndpointPool(vertx, 1_000, clock, new OrderedResponseMatcher(), address -> {}),
            clock,
            ResponseMemory.ofHeap());
    CompletionException failure =
        expectThrows(
            CompletionException.class,
            () ->
                client
                    .call(
                        "POST",
                        endpoint.address(),
                        "/",
                        Map.of(),
                        Buffer.buffer("x"),
                        TIMEOUT_MILLIS,
                        () -> false)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join());
    assertTrue(failure.getCause() instanceof NotSentException, String.valueOf(failure.getCause()));
    assertTrue(endpoint.awaitClosed());
    assertEquals(requests.get(), 0);
  }

  // The refusal of an order, sent once more by a faulty server, was taken for a later response.
  @Test
  public void connectionIsNotUsedAgainAfterRefusal() {
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                socket.write(
                    request.startsWith("POST")
                        ? "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
                        : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    ControlHttpClient client =
        new ControlHttpClient(
            vertx,
            new EndpointPool(vertx, 1_000, clock, new OrderedResponseMatcher(), address -> {}),
            clock,
            ResponseMemory.ofHeap());
    CompletableFuture<List<Integer>> statuses = new CompletableFuture<>();
    vertx
        .getOrCreateContext()
        .runOnContext(
            unused ->
                callInTurn(
                    client, endpoint, List.of("GET", "POST", "GET"), new ArrayList<>(), statuses));
    assertEquals(statuses.join(), List.of(200, 409, 200));
    assertEquals(endpoint.connections(), 2);
  }

  // The repeated response to a call was taken for the response to the next one.
  @Test
  public void callWithResponseTooMuchFails() {
    String report = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    AtomicInteger requests = new AtomicInteger();
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                socket.write(requests.incrementAndGet() == 2 ? report + report : report));
    CompletionException failure =
        expectThrows(CompletionException.class, () -> calls(endpoint).join());
    assertTrue(failure.getMessage().contains("surplus-response"), failure.getMessage());
    assertEquals(requests.get(), 2);
  }

  // An endpoint that had repeated a response could do so again on the next connection.
  @Test
  public void addressThatRepeatsResponsesGetsNewConnections() throws InterruptedException {
    String report = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) -> socket.write(report).onComplete(unused -> socket.write(report)));
    List<String> unreliable = new ArrayList<>();
    LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    EndpointPool pool =
        new EndpointPool(vertx, 1_000, clock, new OrderedResponseMatcher(), unreliable::add);
    ControlHttpClient client = new ControlHttpClient(vertx, pool, clock, ResponseMemory.ofHeap());
    for (int call = 0; call < 3; call++) {
      Future<ControlResponse> response =
          client.call("GET", endpoint.address(), "/", Map.of(), Buffer.buffer(), TIMEOUT_MILLIS);
      response.toCompletionStage().toCompletableFuture().exceptionally(failure -> null).join();
      assertTrue(endpoint.awaitClosed());
    }
    assertEquals(endpoint.connections(), 3);
    assertEquals(unreliable, List.of(endpoint.address()));
  }

  private CompletableFuture<List<Integer>> calls(ScriptedEndpoint endpoint) {
    LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    EndpointPool pool =
        new EndpointPool(vertx, 1_000, clock, new OrderedResponseMatcher(), address -> {});
    ControlHttpClient client = new ControlHttpClient(vertx, pool, clock, ResponseMemory.ofHeap());
    CompletableFuture<List<Integer>> statuses = new CompletableFuture<>();
    vertx
        .getOrCreateContext()
        .runOnContext(
            unused ->
                callInTurn(
                    client, endpoint, List.of("GET", "GET", "GET"), new ArrayList<>(), statuses));
    return statuses;
  }

  /** Makes calls one after the other, each after the connection of the former one is free. */
  private void callInTurn(
      ControlHttpClient client,
      ScriptedEndpoint endpoint,
      List<String> methods,
      List<Integer> statuses,
      CompletableFuture<List<Integer>> result) {
    if (methods.isEmpty()) {
      result.complete(statuses);
      return;
    }
    client
        .call(methods.get(0), endpoint.address(), "/", Map.of(), Buffer.buffer(), TIMEOUT_MILLIS)
        .onFailure(result::completeExceptionally)
        .onSuccess(
            response -> {
              statuses.add(response.status());
              vertx.runOnContext(
                  unused ->
                      callInTurn(
                          client, endpoint, methods.subList(1, methods.size()), statuses, result));
            });
  }
}
