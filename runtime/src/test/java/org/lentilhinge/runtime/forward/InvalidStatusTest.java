package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a response with an invalid status reaches no caller, and ends its connection. */
public class InvalidStatusTest {

  private static final List<String> INVALID =
      List.of("000", "099", "600", "999", "20", "0200", "2000", "+200", "-200", "2OO", "abc", "");

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Returns an endpoint that responds with an invalid status, except to requests named sound. */
  private ScriptedEndpoint endpoint(String status, String prefix) {
    return new ScriptedEndpoint(
        vertx, (socket, request) -> respond(socket, request, prefix, status));
  }

  private static void respond(NetSocket socket, String request, String prefix, String status) {
    boolean sound = request.contains("X-Id: sound");
    String response = ForwardFixture.response(sound ? "sound" : "i", "data: x\n\n");
    if (request.startsWith("POST /resumable/")) {
      response = response.replace("X-Sig", "Content-Type: text/event-stream\r\nX-Sig");
    }
    socket.write(sound ? response : prefix + response.replace(" 200 OK", ' ' + status + " OK"));
  }

  @DataProvider
  public Object[][] calls() {
    List<String> prefixes = List.of("/unsafe/", "/safe/", "/stream/", "/resumable/");
    return INVALID.stream()
        .flatMap(status -> prefixes.stream().map(prefix -> new Object[] {status, prefix}))
        .toArray(Object[][]::new);
  }

  // A caller received the status 000 of a failing server as its response.
  @Test(dataProvider = "calls")
  public void invalidStatusOfCallOrStreamEndsIn502(String status, String path)
      throws IOException, InterruptedException {
    ScriptedEndpoint failing = endpoint(status, "");
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(failing.address()))) {
      String response = fixture.send(ForwardFixture.request("POST", path, "i", "body"));
      assertTrue(response.startsWith("HTTP/1.1 502"), response);
      assertTrue(failing.awaitClosed());
    }
  }

  // A repeatable request was not sent to another endpoint after an invalid status.
  @Test
  public void safeRequestIsRepeatedAfterInvalidStatus() throws IOException {
    for (String status : INVALID) {
      ScriptedEndpoint failing = endpoint(status, "");
      ScriptedEndpoint other = endpoint("200", "");
      try (ForwardFixture fixture =
          new ForwardFixture(vertx, List.of(failing.address(), other.address()))) {
        String response = fixture.send(ForwardFixture.request("POST", "/safe/x", "i", "body"));
        assertTrue(response.endsWith("data: x\n\n"), status + response);
        String unsafe = fixture.send(ForwardFixture.request("POST", "/unsafe/x", "i", "body"));
        assertFalse(unsafe.startsWith("HTTP/1.1 " + status + " "), unsafe);
      }
    }
  }

  // The status of the endpoint that continues a stream was not checked.
  @Test
  public void resumedStreamIsAbortedAfterInvalidStatus() throws IOException {
    ScriptedEndpoint first =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                socket.end(
                    Buffer.buffer(
                        "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: s\r\n"
                            + "Content-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n"
                            + "f\r\nid: 1\ndata: a\n\n\r\n")));
    ScriptedEndpoint second = endpoint("0200", "");
    try (ForwardFixture fixture =
        new ForwardFixture(vertx, List.of(first.address(), second.address()))) {
      String response = fixture.send(ForwardFixture.request("POST", "/resumable/x", "i", ""));
      assertTrue(response.contains("data: a"), response);
      assertFalse(response.contains("data: x"), response);
      assertFalse(response.endsWith("0\r\n\r\n"), response);
      assertEquals(second.requests().size(), 1);
    }
  }

  // An interim response must still be skipped, and a valid status must still be passed on.
  @Test
  public void validStatusIsPassedOnAfterInterimResponse() throws IOException {
    for (String status : List.of("200", "204", "302", "404", "500", "599")) {
      ScriptedEndpoint sound = endpoint(status, "HTTP/1.1 100 Continue\r\n\r\n");
      try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(sound.address()))) {
        String response = fixture.send(ForwardFixture.request("POST", "/unsafe/x", "i", "body"));
        assertTrue(response.startsWith("HTTP/1.1 " + status), status + response);
      }
    }
  }

  private EndpointPool pool(ResponseMatcher matcher, LongSupplier clock) {
    return new EndpointPool(vertx, 1_000, clock, matcher, address -> {});
  }

  private static LongSupplier clock() {
    return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  // A relayed request goes over a connection for a single use; the other host may fail as well.
  @Test
  public void invalidStatusOfRelayedRequestIsFailure() throws Exception {
    for (String status : INVALID) {
      ScriptedEndpoint host = endpoint(status, "");
      CompletableFuture<String> result = new CompletableFuture<>();
      HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
      head.headers().set("X-Id", "i").set("Host", "h");
      EndpointPool pool = pool(new NamedResponseMatcher(new PlainHeaderTranslator()), clock());
      vertx
          .getOrCreateContext()
          .runOnContext(
              unused ->
                  pool.openForSingleUse(host.address())
                      .onSuccess(
                          connection ->
                              connection.send(
                                  head,
                                  Unpooled.buffer(),
                                  Optional.of("i"),
                                  new OutcomeRecorder(result))));
      assertEquals(result.get(5, TimeUnit.SECONDS), "failed", status);
      assertTrue(host.awaitClosed());
    }
  }

  // A report or order was taken for answered with the status 000 or, from four digits, 200.
  @Test
  public void invalidStatusOfControlCallIsFailure() throws InterruptedException {
    for (String status : INVALID) {
      ScriptedEndpoint failing = endpoint(status, "");
      boolean failed =
          new ControlHttpClient(
                  vertx,
                  pool(new OrderedResponseMatcher(), clock()),
                  clock(),
                  ResponseMemory.ofHeap())
              .read(failing.address(), "/", 2_000)
              .map(response -> false)
              .otherwise(failure -> !failure.getMessage().contains("timed out"))
              .toCompletionStage()
              .toCompletableFuture()
              .join();
      assertTrue(failed, "status " + status);
      assertTrue(failing.awaitClosed());
    }
  }

  /** Records whether a response began or the request failed. */
  private record OutcomeRecorder(CompletableFuture<String> result) implements ResponseHandler {

    @Override
    public void onHead(HttpResponse response) {
      result.complete("status " + response.status().code());
    }

    @Override
    public void onData(ByteBuf part) {}

    @Override
    public void onComplete() {}

    @Override
    public void onFailure(String reason) {
      result.complete("failed");
    }
  }
}
