package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.Map;
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
    EndpointPool pool = new EndpointPool(vertx, 1_000, clock);
    return new ControlHttpClient(vertx, pool, clock).read(endpoint.address(), "/", TIMEOUT_MILLIS);
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
        new ControlHttpClient(vertx, new EndpointPool(vertx, 1_000, clock), clock);
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
}
