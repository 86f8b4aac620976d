package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.lentilhinge.runtime.memory.MemoryBounds;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests that callers get complete and true responses when a host stops as planned. */
public class PlannedStopTest {

  private static final int LONG_BODY_BYTES = 4_000_000;
  private static final String STREAM_START =
      "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: s\r\n"
          + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private ScriptedEndpoint endpoint(BiConsumer<NetSocket, String> script) {
    return new ScriptedEndpoint(vertx, script);
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static void write(Socket socket, String request) throws IOException {
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
  }

  // Requests that came late in a planned stop were passed on and cut without a response.
  @Test
  public void requestThatCannotEndBeforeTheStopIsRefusedAsNotRun() throws IOException {
    ScriptedEndpoint endpoint =
        endpoint((socket, request) -> socket.write(ForwardFixture.response("i", "x")));
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.stopAfter(400);
      String response = fixture.send(ForwardFixture.request("POST", "/unsafe/", "i", ""));
      assertTrue(response.startsWith("HTTP/1.1 503"), response);
      assertTrue(response.toLowerCase().contains("retry-after: 0.050"), response);
      assertEquals(endpoint.requests().size(), 0);
    }
  }

  @Test
  public void requestThatCanEndBeforeTheStopIsServed() throws IOException {
    ScriptedEndpoint endpoint =
        endpoint((socket, request) -> socket.write(ForwardFixture.response("i", "x")));
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.stopAfter(6_000);
      String response = fixture.send(ForwardFixture.request("POST", "/unsafe/", "i", ""));
      assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }
  }

  // At the end of a planned stop requests in flight were cut without a response.
  @Test
  public void requestThatMayHaveRunIsAnsweredAtTheEnd() throws IOException, InterruptedException {
    CountDownLatch arrived = new CountDownLatch(1);
    ScriptedEndpoint silent = endpoint((socket, request) -> arrived.countDown());
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(silent.address()));
        Socket caller = fixture.open()) {
      write(caller, ForwardFixture.request("POST", "/unsafe/", "i", ""));
      assertTrue(arrived.await(10, TimeUnit.SECONDS));
      fixture.stop();
      fixture.refuseUnsent();
      fixture.endAll();
      String response = readAll(caller);
      assertTrue(response.startsWith("HTTP/1.1 502"), response);
      assertTrue(response.endsWith("stopping\n"), response);
    }
  }

  @Test
  public void streamIsCutAfterWholeEventAtTheEnd() throws IOException, InterruptedException {
    ScriptedEndpoint endpoint =
        endpoint(
            (socket, request) -> socket.write(STREAM_START + "11\r\nid: 1\ndata: a\n\nid:\r\n"));
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()));
        Socket caller = fixture.open()) {
      write(caller, ForwardFixture.request("POST", "/stream/", "i", ""));
      byte[] start = new byte[1];
      assertEquals(caller.getInputStream().read(start), 1);
      fixture.stop();
      fixture.endAll();
      String response = readAll(caller);
      assertTrue(response.contains("data: a\n\n"), response);
      assertFalse(response.contains("id:\r\n") || response.endsWith("0\r\n\r\n"), response);
    }
  }

  // The process ended while a part of a long response waited for the caller's socket.
  @Test
  public void stopWaitsForResponsesThatAreNotSentYet() throws IOException, InterruptedException {
    CountDownLatch arrived = new CountDownLatch(1);
    List<NetSocket> waiting = new CopyOnWriteArrayList<>();
    ScriptedEndpoint endpoint =
        endpoint(
            (socket, request) -> {
              waiting.add(socket);
              arrived.countDown();
            });
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()));
        Socket caller = fixture.open()) {
      write(caller, ForwardFixture.request("POST", "/unsafe/", "i", ""));
      assertTrue(arrived.await(10, TimeUnit.SECONDS));
      fixture.stop();
      waiting.get(0).write(ForwardFixture.response("i", "x".repeat(LONG_BODY_BYTES)));
      byte[] start = new byte[1];
      assertEquals(caller.getInputStream().read(start), 1);
      assertEquals(fixture.requestsInFlight(), 0);
      assertEquals(fixture.unfinishedResponses(), 1);
      assertTrue(readAll(caller).length() > LONG_BODY_BYTES);
      long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      while (fixture.unfinishedResponses() > 0) {
        assertTrue(System.nanoTime() < endNanos, "the response is never regarded as sent");
      }
    }
  }

  // A response that a caller had not accepted yet was not waited for on a kept connection.
  @Test
  public void stopWaitsForUnsentResponseOnKeptConnection() throws IOException {
    ScriptedEndpoint endpoint =
        endpoint(
            (socket, request) ->
                socket.write(ForwardFixture.response("i", "x".repeat(LONG_BODY_BYTES))));
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()));
        Socket caller = fixture.openNarrow()) {
      String request = ForwardFixture.request("POST", "/unsafe/", "i", "");
      write(caller, request.replace("Connection: close\r\n", ""));
      byte[] start = new byte[1];
      assertEquals(caller.getInputStream().read(start), 1);
      assertEquals(fixture.requestsInFlight(), 0);
      fixture.stop();
      assertEquals(fixture.unfinishedResponses(), 1);
      assertTrue(readAll(caller).length() > LONG_BODY_BYTES);
      awaitFinished(fixture);
    }
  }

  private static void awaitFinished(ForwardFixture fixture) {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (fixture.unfinishedResponses() > 0) {
      assertTrue(System.nanoTime() < endNanos, "a response is never regarded as sent");
    }
  }

  // A caller that was still sending a refused body got a reset in place of the refusal.
  @Test
  public void stopWaitsForRestOfRefusedBody() throws IOException, InterruptedException {
    CountDownLatch arrived = new CountDownLatch(1);
    List<NetSocket> waiting = new CopyOnWriteArrayList<>();
    ScriptedEndpoint endpoint =
        endpoint(
            (socket, request) -> {
              waiting.add(socket);
              arrived.countDown();
            });
    long unbounded = 1L << 40;
    MemoryBounds bounds = new MemoryBounds(unbounded, 300_000, unbounded, unbounded, unbounded);
    String request = ForwardFixture.request("POST", "/unsafe/", "i", "x".repeat(200_000));
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()), bounds);
        Socket first = fixture.open();
        Socket sending = fixture.open();
        Socket silent = fixture.open()) {
      write(first, request);
      assertTrue(arrived.await(10, TimeUnit.SECONDS));
      for (Socket refused : List.of(sending, silent)) {
        write(refused, request.substring(0, 1_000));
        assertEquals(refused.getInputStream().read(), 'H');
      }
      waiting.get(0).write(ForwardFixture.response("i", "x"));
      assertTrue(readAll(first).endsWith("x"));
      fixture.stop();
      assertEquals(fixture.unfinishedResponses(), 2);
      write(sending, request.substring(1_000));
      assertTrue(readAll(sending).startsWith("TTP/1.1 503"));
      fixture.advance(2_100);
      fixture.closeExpiredConnections();
      awaitFinished(fixture);
    }
  }
}
