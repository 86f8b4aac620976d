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
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
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
    OrderedResponseMatcher ordered = new OrderedResponseMatcher();
    EndpointPool pool = new EndpointPool(vertx, 1_000, clock, ordered);
    return new ControlHttpClient(vertx, pool, clock, ordered)
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
            new EndpointPool(vertx, 1_000, clock, new OrderedResponseMatcher()),
            clock,
            new OrderedResponseMatcher());
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

  @DataProvider
  public static Object[][] repeatedStatuses() {
    return new Object[][] {{200}, {202}, {409}, {412}, {400}};
  }

  // A response to an order, sent once more by a faulty server, was taken for that to a later call.
  @Test(dataProvider = "repeatedStatuses")
  public void repeatedResponseIsNotTakenForTheNextCall(int status) {
    StringBuilder former = new StringBuilder();
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) -> {
              String id = id(request);
              if (former.isEmpty()) {
                former.append(response(status, id));
                socket.write(former.toString());
              } else {
                socket.write(former + response(404, id));
              }
            });
    assertEquals(statuses(endpoint), List.of(status, 404, 404));
  }

  // An endpoint that does not name the call could respond to any call on the connection.
  @Test(dataProvider = "repeatedStatuses")
  public void connectionIsNotUsedAgainAfterUnnamedResponse(int status) {
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(vertx, (socket, request) -> socket.write(response(status, "")));
    assertEquals(statuses(endpoint), List.of(status, status, status));
    assertEquals(endpoint.connections(), 3);
  }

  @Test
  public void connectionIsUsedAgainAfterNamedResponse() {
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(vertx, (socket, request) -> socket.write(response(409, id(request))));
    assertEquals(statuses(endpoint), List.of(409, 409, 409));
    assertEquals(endpoint.connections(), 1);
  }

  private static String id(String request) {
    return request.replaceFirst("(?s).*X-Id: ([^\\r]*).*", "$1");
  }

  private static String response(int status, String id) {
    String name = id.isEmpty() ? "" : "X-Id: " + id + "\r\n";
    return "HTTP/1.1 " + status + " S\r\n" + name + "Content-Length: 0\r\n\r\n";
  }

  /** Makes three calls in turn and returns the statuses of their responses. */
  private List<Integer> statuses(ScriptedEndpoint endpoint) {
    LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    NamedResponseMatcher named =
        new NamedResponseMatcher(new PlainHeaderTranslator(), new Random(1));
    ControlHttpClient client =
        new ControlHttpClient(vertx, new EndpointPool(vertx, 1_000, clock, named), clock, named);
    CompletableFuture<List<Integer>> statuses = new CompletableFuture<>();
    vertx
        .getOrCreateContext()
        .runOnContext(
            unused ->
                callInTurn(
                    client, endpoint, List.of("POST", "POST", "GET"), new ArrayList<>(), statuses));
    return statuses.join();
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
