package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the host's own calls (orders, reports, the store) do not keep bytes without end. */
public class EndlessControlResponseTest {

  /** The longest response, and what the buffers of the operating system hold. */
  private static final long MAXIMUM_ACCEPTED_BYTES = 25_165_824;

  private static final long TIMEOUT_MILLIS = 2_000;
  private static final long MAXIMUM_HELD_BYTES = 4_194_304;
  private static final String FILLER = "x".repeat(10_000);
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

  private Vertx vertx;
  private Context loop;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
    loop = vertx.getOrCreateContext();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private ControlHttpClient client(ResponseMemory memory) {
    LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    EndpointPool pool =
        new EndpointPool(vertx, 1_000, clock, new OrderedResponseMatcher(), address -> {});
    return new ControlHttpClient(vertx, pool, clock, memory);
  }

  /** Makes a call on the event loop. */
  private CompletableFuture<ControlResponse> onLoop(Supplier<Future<ControlResponse>> call) {
    CompletableFuture<ControlResponse> result = new CompletableFuture<>();
    loop.runOnContext(
        unused ->
            call.get()
                .onSuccess(result::complete)
                .onFailure(failure -> result.completeExceptionally(failure)));
    return result;
  }

  private static Future<ControlResponse> post(
      ControlHttpClient client, FloodingEndpoint endpoint, Buffer body) {
    return client.call("POST", endpoint.address(), "/", Map.of(), body, TIMEOUT_MILLIS);
  }

  @DataProvider
  public Object[][] endless() {
    return new Object[][] {
      {"head", OK, "X-More: 1\r\n"},
      {"interim responses", "", "HTTP/1.1 103 Early\r\n\r\n"},
      {"body", OK + "\r\n", FILLER},
      {"chunks", OK + CHUNKED, "2710\r\n" + FILLER + "\r\n"},
      {"chunk extensions", OK + CHUNKED, "1;x=" + FILLER + "\r\nx\r\n"},
      {"trailers", OK + CHUNKED + "0\r\n", "X-More: 1\r\n"},
      {"refusal", "HTTP/1.1 409 Conflict\r\n\r\n", FILLER},
      {"after a refusal", "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", FILLER},
      {"after the response", OK + "Content-Length: 0\r\n\r\n", FILLER},
    };
  }

  // A host kept what an engine or the store sent without end.
  @Test(dataProvider = "endless")
  public void endlessResponseIsCut(String what, String head, String repeated)
      throws InterruptedException {
    FloodingEndpoint endless =
        new FloodingEndpoint(
            vertx, (endpoint, arrival) -> endpoint.flood(arrival.socket(), head, repeated));
    ControlHttpClient client = client(ResponseMemory.ofHeap());
    CompletableFuture<ControlResponse> call =
        onLoop(() -> client.read(endless.address(), "/", TIMEOUT_MILLIS));
    if (!what.startsWith("after")) {
      CompletionException failure = expectThrows(CompletionException.class, call::join);
      assertTrue(!failure.getMessage().contains("timed out"), what + failure.getMessage());
    }
    assertTrue(endless.awaitClosed(), what);
    long accepted = endless.acceptedBytes();
    assertTrue(accepted <= MAXIMUM_ACCEPTED_BYTES, what + ": " + accepted + " bytes");
  }

  // Bytes that arrived while a long request was still being written kept its connection open.
  @Test
  public void endlessResponseToRequestThatIsNotReadIsCut() throws Exception {
    List<Socket> sockets = new CopyOnWriteArrayList<>();
    try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Long> accepted =
          CompletableFuture.supplyAsync(() -> writeOnly(deaf, sockets));
      String address = "127.0.0.1:" + deaf.getLocalPort();
      ControlHttpClient client = client(ResponseMemory.ofHeap());
      Buffer body = Buffer.buffer(new byte[33_554_432]);
      Map<String, String> headers = Map.of();
      expectThrows(
          CompletionException.class,
          onLoop(() -> client.call("POST", address, "/", headers, body, TIMEOUT_MILLIS))::join);
      long bytes = accepted.get(10, TimeUnit.SECONDS);
      assertTrue(bytes <= MAXIMUM_ACCEPTED_BYTES, bytes + " bytes");
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** Writes on the first connection until it is closed; returns the number of bytes written. */
  private static long writeOnly(ServerSocket server, List<Socket> sockets) {
    byte[] filler = FILLER.getBytes(StandardCharsets.ISO_8859_1);
    long bytes = 0;
    try (Socket socket = server.accept()) {
      sockets.add(socket);
      while (true) {
        socket.getOutputStream().write(filler);
        bytes += filler.length;
      }
    } catch (IOException exception) {
      return bytes;
    }
  }

  // Many reports, each within its bound, took more memory together than the host has.
  @Test
  public void unfinishedResponsesTogetherAreBounded() {
    int calls = 16;
    String unfinished = OK + "Content-Length: 2000000\r\n\r\n" + "x".repeat(1_000_000);
    FloodingEndpoint stalling =
        new FloodingEndpoint(
            vertx,
            (endpoint, arrival) -> {
              NetSocket socket = arrival.socket();
              socket.write(arrival.text().startsWith("GET") ? OK + "\r\n" : unfinished);
              if (arrival.text().startsWith("GET")) {
                socket.close();
              }
            });
    ControlHttpClient client = client(new ResponseMemory(MAXIMUM_HELD_BYTES));
    List<CompletableFuture<ControlResponse>> reports = new ArrayList<>();
    for (int call = 0; call < calls; call++) {
      reports.add(onLoop(() -> post(client, stalling, Buffer.buffer())));
    }
    ControlResponse sound =
        onLoop(() -> client.read(stalling.address(), "/", TIMEOUT_MILLIS)).join();
    assertEquals(sound.status(), 200);
    int held = 0;
    for (CompletableFuture<ControlResponse> report : reports) {
      CompletionException failure = expectThrows(CompletionException.class, report::join);
      held += failure.getMessage().contains("timed out") ? 1 : 0;
    }
    assertTrue(held * 1_000_000L <= MAXIMUM_HELD_BYTES, held + " responses held");
  }
}
