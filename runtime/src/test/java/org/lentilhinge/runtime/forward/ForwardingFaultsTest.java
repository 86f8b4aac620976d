package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests forwarding over sockets with faulty endpoints and callers. */
public class ForwardingFaultsTest {

  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";

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

  private String send(String request, ScriptedEndpoint... endpoints) throws IOException {
    List<String> addresses = new ArrayList<>();
    for (ScriptedEndpoint endpoint : endpoints) {
      addresses.add(endpoint.address());
    }
    try (ForwardFixture fixture = new ForwardFixture(vertx, addresses)) {
      return fixture.send(request);
    }
  }

  private static String unsafeRequest() {
    return ForwardFixture.request("POST", "/unsafe/x", "i", "body");
  }

  private static String safeRequest() {
    return ForwardFixture.request("GET", "/safe/x", "i", "");
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  @Test
  public void responseToAnotherRequestIsSkipped() throws IOException {
    ScriptedEndpoint misattributing =
        endpoint(
            (socket, request) ->
                socket.write(
                    ForwardFixture.response("other", "wrong")
                        + ForwardFixture.response("i", "right")));
    String response = send(unsafeRequest(), misattributing);
    assertTrue(response.endsWith("right"), response);
    assertFalse(response.contains("wrong"), response);
  }

  @Test
  public void bytesAfterResponseAreNotUsedForNextRequest() throws IOException {
    ScriptedEndpoint extra =
        endpoint(
            (socket, request) -> {
              String id = request.contains("X-Id: one") ? "one" : "two";
              socket.write(
                  ForwardFixture.response(id, id) + ForwardFixture.response("one", "extra"));
            });
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(extra.address()))) {
      assertTrue(
          fixture.send(ForwardFixture.request("POST", "/unsafe/", "one", "")).endsWith("one"));
      assertTrue(
          fixture.send(ForwardFixture.request("POST", "/unsafe/", "two", "")).endsWith("two"));
    }
  }

  @Test
  public void responseWithoutLengthIsCompleteAfterRegularClose() throws IOException {
    String head = "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: s\r\n\r\nall";
    ScriptedEndpoint closing =
        endpoint((socket, request) -> socket.end(io.vertx.core.buffer.Buffer.buffer(head)));
    assertTrue(send(unsafeRequest(), closing).endsWith("all"));
  }

  @Test
  public void truncatedResponseIsBadGateway() throws IOException {
    ScriptedEndpoint truncating =
        endpoint(
            (socket, request) ->
                socket.end(
                    io.vertx.core.buffer.Buffer.buffer(
                        "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: s\r\n"
                            + "Content-Length: 9\r\n\r\nhal")));
    assertTrue(send(unsafeRequest(), truncating).startsWith("HTTP/1.1 502"));
  }

  @Test
  public void malformedResponseIsBadGateway() throws IOException {
    ScriptedEndpoint malformed =
        endpoint((socket, request) -> socket.write("\u0001\u0002 nonsense\r\n\r\n"));
    assertTrue(send(unsafeRequest(), malformed).startsWith("HTTP/1.1 502"));
  }

  /** Writes the text again and again until the connection is closed. */
  private static void writeEndlessly(NetSocket socket, String text) {
    socket.write(text).onSuccess(unused -> writeEndlessly(socket, text));
  }

  private void assertEndlessResponseIsCut(String head, String repeated, String request)
      throws IOException, InterruptedException {
    ScriptedEndpoint endless =
        endpoint(
            (socket, unused) -> {
              socket.write(head);
              writeEndlessly(socket, repeated);
            });
    String response = send(request, endless);
    assertTrue(response.startsWith("HTTP/1.1 502"), response);
    assertTrue(endless.awaitClosed());
  }

  @Test
  public void endlessBytesInsteadOfHeadAreCut() throws IOException, InterruptedException {
    assertEndlessResponseIsCut("", "x".repeat(10_000), unsafeRequest());
  }

  @Test
  public void endlessHeaderLinesAreCut() throws IOException, InterruptedException {
    assertEndlessResponseIsCut("HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", unsafeRequest());
  }

  @Test
  public void endlessInterimResponsesAreCut() throws IOException, InterruptedException {
    assertEndlessResponseIsCut("", "HTTP/1.1 100 Continue\r\n\r\n", unsafeRequest());
  }

  @Test
  public void endlessResponseToAnotherRequestIsCut() throws IOException, InterruptedException {
    String head = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\n\r\n";
    assertEndlessResponseIsCut(head, "x".repeat(10_000), unsafeRequest());
  }

  @Test
  public void endlessBodyIsCut() throws IOException, InterruptedException {
    String head = "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: s\r\n\r\n";
    assertEndlessResponseIsCut(head, "x".repeat(10_000), unsafeRequest());
  }

  @Test
  public void endlessEventIsCut() throws IOException, InterruptedException {
    String request = ForwardFixture.request("POST", "/stream/x", "i", "body");
    assertEndlessResponseIsCut(STREAM_HEAD, chunk("x".repeat(10_000)), request);
  }

  @Test
  public void unsignedSuccessIsBadGateway() throws IOException {
    ScriptedEndpoint unsigned =
        endpoint(
            (socket, request) ->
                socket.write("HTTP/1.1 200 OK\r\nX-Id: i\r\nContent-Length: 2\r\n\r\nno"));
    assertTrue(send(unsafeRequest(), unsigned).startsWith("HTTP/1.1 502"));
  }

  private ScriptedEndpoint failingEndpoint() {
    String failure =
        "HTTP/1.1 500 Failed\r\nX-Id: i\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\noops";
    return endpoint((socket, request) -> socket.write(failure));
  }

  @Test
  public void safeRequestThatFailedIsAnsweredByAnotherEndpoint() throws IOException {
    ScriptedEndpoint second =
        endpoint((socket, request) -> socket.write(ForwardFixture.response("i", "again")));
    String response = send(safeRequest(), failingEndpoint(), second);
    assertTrue(response.startsWith("HTTP/1.1 200"), response);
    assertTrue(response.endsWith("again"), response);
  }

  @Test
  public void failureIsPassedOnIfAllEndpointsFail() throws IOException {
    ScriptedEndpoint first = failingEndpoint();
    ScriptedEndpoint second = failingEndpoint();
    String response = send(safeRequest(), first, second);
    assertTrue(response.startsWith("HTTP/1.1 500"), response);
    assertTrue(response.endsWith("oops"), response);
    assertEquals(first.requests().size() + second.requests().size(), 2);
  }

  @Test
  public void failureOfUnsafeRequestIsPassedOnAtOnce() throws IOException {
    ScriptedEndpoint second = failingEndpoint();
    String response = send(unsafeRequest(), failingEndpoint(), second);
    assertTrue(response.startsWith("HTTP/1.1 500"), response);
    assertEquals(second.requests().size(), 0);
  }

  @Test
  public void failureIsPassedOnBeforeDeadlineIfNextEndpointIsSilent() throws IOException {
    ScriptedEndpoint silent = endpoint((socket, request) -> {});
    long start = System.nanoTime();
    String response = send(safeRequest(), failingEndpoint(), silent);
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    assertTrue(response.startsWith("HTTP/1.1 500"), response);
    // The target time of the route is 500 ms, the deadline of the request 1,500 ms.
    assertTrue(millis < 1_400, millis + " ms");
  }

  @Test
  public void malformedRequestIsNotWaitedForAtStop() throws IOException {
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of())) {
      assertTrue(fixture.send("nonsense\r\n\r\n").startsWith("HTTP/1.1 400"));
      assertEquals(fixture.requestsInFlight(), 0);
    }
  }

  @Test
  public void requestWithTwoLengthsIsRejectedAndNotForwarded() throws IOException {
    ScriptedEndpoint endpoint =
        endpoint((socket, request) -> socket.write(ForwardFixture.response("i", "run")));
    String ambiguous =
        "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Id: i\r\nContent-Length: 5\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + "POST /unsafe/y HTTP/1.1\r\nHost: h\r\n\r\n";
    assertTrue(send(ambiguous, endpoint).startsWith("HTTP/1.1 400"));
    assertEquals(endpoint.requests().size(), 0);
  }

  @Test
  public void requestInsideBodyIsForwardedAsBody() throws IOException {
    ScriptedEndpoint endpoint =
        endpoint((socket, request) -> socket.write(ForwardFixture.response("i", "run")));
    String inner = "POST /unsafe/y HTTP/1.1\r\nHost: h\r\n\r\n";
    send(ForwardFixture.request("POST", "/unsafe/x", "i", inner), endpoint);
    assertEquals(endpoint.requests().size(), 1);
    assertTrue(endpoint.requests().get(0).endsWith(inner));
  }

  @Test
  public void misdirectedRequestIsRefusedWithRetryDelay() throws IOException {
    ScriptedEndpoint other =
        endpoint(
            (socket, request) ->
                socket.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"));
    String response = send(unsafeRequest(), other);
    assertTrue(other.requests().get(0).contains("X-Endpoint: e0"));
    assertTrue(response.startsWith("HTTP/1.1 503"), response);
    assertTrue(response.toLowerCase(java.util.Locale.ROOT).contains("retry-after"), response);
  }

  @Test
  public void unsafeRequestWithUnknownOutcomeIsSentOnce() throws IOException {
    ScriptedEndpoint closing = endpoint((socket, request) -> socket.close());
    ScriptedEndpoint second =
        endpoint((socket, request) -> socket.write(ForwardFixture.response("i", "again")));
    assertTrue(send(unsafeRequest(), closing, second).startsWith("HTTP/1.1 502"));
    assertEquals(closing.requests().size() + second.requests().size(), 1);
  }

  @Test
  public void safeRequestIsRetriedAtAnotherEndpoint() throws IOException {
    ScriptedEndpoint closing = endpoint((socket, request) -> socket.close());
    ScriptedEndpoint second =
        endpoint((socket, request) -> socket.write(ForwardFixture.response("i", "again")));
    assertTrue(send(safeRequest(), closing, second).endsWith("again"));
  }

  @Test
  public void unmarkedNotExecutedStatusIsNotPassedOn() throws IOException {
    ScriptedEndpoint busy =
        endpoint(
            (socket, request) ->
                socket.write("HTTP/1.1 503 Busy\r\nX-Id: i\r\nContent-Length: 0\r\n\r\n"));
    assertTrue(send(unsafeRequest(), busy).startsWith("HTTP/1.1 502"));
  }

  @Test
  public void markedRefusalIsPassedOn() throws IOException {
    ScriptedEndpoint full =
        endpoint(
            (socket, request) ->
                socket.write(
                    "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
    assertTrue(send(unsafeRequest(), full).startsWith("HTTP/1.1 503"));
  }

  @Test
  public void endpointReceivesRemainingDeadline() throws IOException {
    ScriptedEndpoint endpoint =
        endpoint((socket, request) -> socket.write(ForwardFixture.response("i", "run")));
    send(unsafeRequest(), endpoint);
    String line =
        endpoint
            .requests()
            .get(0)
            .lines()
            .filter(header -> header.startsWith("X-Deadline"))
            .findFirst()
            .orElseThrow();
    long deadlineMillis = Long.parseLong(line.substring(line.indexOf(':') + 1).trim());
    assertTrue(deadlineMillis > 0 && deadlineMillis <= 1_500, line);
  }

  @Test
  public void unresponsiveEndpointCausesGatewayTimeout() throws IOException {
    ScriptedEndpoint silent = endpoint((socket, request) -> {});
    assertTrue(send(unsafeRequest(), silent).startsWith("HTTP/1.1 504"));
  }

  @Test
  public void unsafeRequestOnStaleConnectionIsNotRetried() throws IOException {
    ScriptedEndpoint stale =
        endpoint(
            (socket, request) -> {
              if (request.contains("X-Id: one")) {
                socket.write(ForwardFixture.response("one", "one"));
              } else {
                socket.close();
              }
            });
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(stale.address()))) {
      fixture.send(ForwardFixture.request("POST", "/unsafe/", "one", ""));
      String response = fixture.send(ForwardFixture.request("POST", "/unsafe/", "two", ""));
      assertTrue(response.startsWith("HTTP/1.1 502"), response);
      assertEquals(stale.requests().size(), 2);
    }
  }

  @Test
  public void callerDisconnectCancelsRequest() throws IOException, InterruptedException {
    CountDownLatch arrived = new CountDownLatch(1);
    ScriptedEndpoint slow = endpoint((socket, request) -> arrived.countDown());
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(slow.address()))) {
      try (Socket caller = fixture.open()) {
        caller.getOutputStream().write(unsafeRequest().getBytes(StandardCharsets.ISO_8859_1));
        assertTrue(arrived.await(10, TimeUnit.SECONDS));
      }
      assertTrue(slow.awaitClosed());
    }
  }

  @Test
  public void plannedStopCompletesRequestsInFlight() throws IOException, InterruptedException {
    CountDownLatch arrived = new CountDownLatch(1);
    List<NetSocket> waiting = new java.util.concurrent.CopyOnWriteArrayList<>();
    ScriptedEndpoint slow =
        endpoint(
            (socket, request) -> {
              waiting.add(socket);
              arrived.countDown();
            });
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(slow.address()));
        Socket caller = fixture.open();
        Socket idle = fixture.open()) {
      caller.getOutputStream().write(unsafeRequest().getBytes(StandardCharsets.ISO_8859_1));
      assertTrue(arrived.await(10, TimeUnit.SECONDS));
      fixture.stop();
      assertEquals(idle.getInputStream().read(), -1);
      waiting.get(0).write(ForwardFixture.response("i", "late"));
      String response =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(response.endsWith("late"), response);
    }
  }

  @Test
  public void streamInterruptedWithinEventIsNotCompleted() throws IOException {
    ScriptedEndpoint broken =
        endpoint(
            (socket, request) -> {
              socket.write(STREAM_HEAD + chunk("id: 1\ndata: a\n\nid: 2\nda"));
              socket.close();
            });
    String response = send(ForwardFixture.request("POST", "/stream/", "i", ""), broken);
    assertTrue(response.contains("data: a\n\n"), response);
    assertFalse(response.contains("id: 2"), response);
    assertFalse(response.endsWith("0\r\n\r\n"), response);
  }

  @Test
  public void resumableStreamContinuesAfterLastCompleteEvent() throws IOException {
    ScriptedEndpoint broken =
        endpoint(
            (socket, request) -> {
              socket.write(STREAM_HEAD + chunk("id: 1\ndata: a\n\nid: 2\nda"));
              socket.close();
            });
    ScriptedEndpoint second =
        endpoint(
            (socket, request) ->
                socket.write(STREAM_HEAD + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"));
    String response = send(ForwardFixture.request("POST", "/resumable/", "i", ""), broken, second);
    assertTrue(second.requests().get(0).contains("X-Resume: 1"));
    assertTrue(response.indexOf("data: a") < response.indexOf("data: b"), response);
    assertTrue(response.endsWith("0\r\n\r\n"), response);
  }
}
