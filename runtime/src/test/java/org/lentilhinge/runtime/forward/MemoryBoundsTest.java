package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.lentilhinge.runtime.memory.MemoryBounds;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests over sockets that each bound of the bytes that a host holds takes effect by itself, and
 * that requests within the bounds are served meanwhile.
 */
public class MemoryBoundsTest {

  private static final long UNBOUNDED = 1L << 40;
  private static final int BODY_BYTES = 200_000;
  private static final int LONG_BODY_BYTES = 8_000_000;
  private static final long WAIT_MILLIS = 10_000;
  private static final String STREAM =
      "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n";
  private static final String EVENT = "data: " + "x".repeat(10_000) + "\n\n";

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** Returns an endpoint that answers only the requests named sound. */
  private ScriptedEndpoint waitingEndpoint() {
    return new ScriptedEndpoint(
        vertx,
        (socket, request) -> {
          if (request.contains("X-Id: sound")) {
            socket.write(ForwardFixture.response("sound", "sound"));
          }
        });
  }

  /** Returns an endpoint that accepts connections and reads nothing. */
  private static ServerSocket unreadingEndpoint() throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReceiveBufferSize(65_536);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return server;
  }

  private static String address(ServerSocket server) {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String readAll(Socket socket) {
    try (socket) {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (IOException exception) {
      return exception.toString();
    }
  }

  private static String sound(ForwardFixture fixture) throws IOException {
    return fixture.send(ForwardFixture.request("POST", "/unsafe/x", "sound", "body"));
  }

  private static long heldBytes(ForwardFixture fixture, String kind) {
    AtomicLong value = new AtomicLong();
    String name = MetricRegistry.name(HostMemory.METRICS, kind);
    fixture.onLoop(
        () -> value.set((Long) fixture.context().metrics().getGauges().get(name).getValue()));
    return value.get();
  }

  private static void await(BooleanSupplier condition, String description) {
    long endAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < endAtNanos, description);
    }
  }

  private static String chunked(String request, String body) {
    return request
            .replace("Content-Length: " + body.length(), "Transfer-Encoding: chunked")
            .replace("\r\n\r\n" + body, "\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n")
        + body
        + "\r\n0\r\n\r\n";
  }

  @DataProvider
  public Object[][] framings() {
    return new Object[][] {{false}, {true}};
  }

  // The bodies of many callers at once took more memory together than the host has.
  @Test(dataProvider = "framings")
  public void requestBodiesTogetherAreBounded(boolean withoutLength) throws IOException {
    int callers = 24;
    long bound = 2_000_000;
    MemoryBounds bounds = new MemoryBounds(UNBOUNDED, bound, UNBOUNDED, UNBOUNDED, UNBOUNDED);
    ScriptedEndpoint endpoint = waitingEndpoint();
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()), bounds)) {
      String body = "x".repeat(BODY_BYTES);
      String request = ForwardFixture.request("POST", "/unsafe/x", "i", body);
      List<Socket> sockets = new ArrayList<>();
      for (int caller = 0; caller < callers; caller++) {
        Socket socket = fixture.open();
        sockets.add(socket);
        write(socket, withoutLength ? chunked(request, body) : request);
      }
      assertTrue(heldBytes(fixture, HostMemory.REQUEST_BODIES) <= bound);
      int refused = 0;
      for (Socket socket : sockets) {
        String response = readAll(socket);
        boolean notRun = response.startsWith("HTTP/1.1 503");
        assertTrue(notRun || response.startsWith("HTTP/1.1 504"), response);
        assertEquals(notRun, response.endsWith("request-bodies\n"), response);
        assertEquals(notRun, response.toLowerCase().contains("retry-after: 1.000"), response);
        refused += notRun ? 1 : 0;
      }
      // A buffer of 262,144 bytes holds each body.
      assertTrue(refused >= callers - 7, refused + " refused");
      assertTrue(refused < callers - 3, refused + " refused");
      assertEquals(endpoint.requests().size(), callers - refused);
      assertEquals(
          fixture.context().metrics().counter("forward.refused.request-bodies").getCount(),
          refused);
      await(() -> heldBytes(fixture, HostMemory.REQUEST_BODIES) == 0, "all bodies are released");
      assertTrue(sound(fixture).endsWith("sound"));
    }
  }

  // The bodies of callers that went away, or that came after the last request, were counted on.
  @Test
  public void bodiesOfGoneCallersAreReleased() throws IOException {
    ScriptedEndpoint endpoint = waitingEndpoint();
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      String body = "x".repeat(BODY_BYTES);
      String request = ForwardFixture.request("POST", "/unsafe/x", "i", body);
      Socket sending = fixture.open();
      write(sending, request.substring(0, request.length() - 1));
      Socket waiting = fixture.open();
      write(waiting, request.replace("Connection: close\r\n", "") + request);
      await(() -> heldBytes(fixture, HostMemory.REQUEST_BODIES) > 3L * BODY_BYTES, "held");
      sending.close();
      waiting.close();
      await(() -> heldBytes(fixture, HostMemory.REQUEST_BODIES) == 0, "bodies are released");
      try (Socket closing = fixture.open()) {
        write(closing, request + request + request.substring(0, request.length() - 1));
        assertTrue(readAll(closing).startsWith("HTTP/1.1 504"));
      }
      await(() -> heldBytes(fixture, HostMemory.REQUEST_BODIES) == 0, "bodies are released");
    }
  }

  // A pipelined body that was refused must not end the response that precedes it.
  @Test
  public void refusedBodyWaitsForFormerResponse() throws IOException {
    MemoryBounds bounds = new MemoryBounds(UNBOUNDED, 300_000, UNBOUNDED, UNBOUNDED, UNBOUNDED);
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                vertx.setTimer(
                    300, id -> socket.write(ForwardFixture.response("sound", "sound\n"))));
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()), bounds);
        Socket caller = fixture.open()) {
      String body = "x".repeat(BODY_BYTES);
      String request = ForwardFixture.request("POST", "/unsafe/x", "sound", body);
      String first = request.replace("Connection: close\r\n", "");
      write(caller, first + request);
      String responses = readAll(caller);
      int second = responses.indexOf("HTTP/1.1 503");
      assertTrue(responses.startsWith("HTTP/1.1 200") && second > 0, responses);
      assertTrue(responses.substring(0, second).endsWith("sound\n"), responses);
      assertTrue(responses.endsWith("request-bodies\n"), responses);
      assertEquals(endpoint.requests().size(), 1);
      assertEquals(heldBytes(fixture, HostMemory.REQUEST_BODIES), 0);
    }
  }

  // Bodies for an endpoint that did not read took the memory for those of all others.
  @Test
  public void bodiesForUnreadingEndpointGoToAnother() throws IOException {
    MemoryBounds bounds = new MemoryBounds(UNBOUNDED, UNBOUNDED, 1_000_000, UNBOUNDED, UNBOUNDED);
    ScriptedEndpoint other = waitingEndpoint();
    try (ServerSocket unreading = unreadingEndpoint();
        ForwardFixture fixture =
            new ForwardFixture(vertx, List.of(address(unreading), other.address()), bounds);
        Socket caller = fixture.open()) {
      write(caller, ForwardFixture.request("POST", "/unsafe/x", "i", "x".repeat(LONG_BODY_BYTES)));
      // The head has arrived, so that the body is in flight.
      assertEquals(unreading.accept().getInputStream().read(), 'P');
      String body = "x".repeat(BODY_BYTES);
      for (int request = 0; request < 3; request++) {
        String response = fixture.send(ForwardFixture.request("POST", "/unsafe/x", "sound", body));
        assertTrue(response.endsWith("sound"), response);
      }
      assertTrue(readAll(caller).startsWith("HTTP/1.1 504"));
    }
  }

  // Without another endpoint the request is refused at once, not queued until its deadline.
  @Test
  public void bodyForUnreadingEndpointAloneIsRefusedAtOnce() throws IOException {
    MemoryBounds bounds = new MemoryBounds(UNBOUNDED, UNBOUNDED, 1_000_000, UNBOUNDED, UNBOUNDED);
    try (ServerSocket unreading = unreadingEndpoint();
        ForwardFixture fixture = new ForwardFixture(vertx, List.of(address(unreading)), bounds);
        Socket caller = fixture.open()) {
      write(caller, ForwardFixture.request("POST", "/unsafe/x", "i", "x".repeat(LONG_BODY_BYTES)));
      // The head has arrived, so that the body is in flight.
      assertEquals(unreading.accept().getInputStream().read(), 'P');
      String response = sound(fixture);
      assertTrue(response.startsWith("HTTP/1.1 503"), response);
      assertTrue(response.toLowerCase().contains("retry-after"), response);
      assertTrue(response.endsWith(HostMemory.ENDPOINT_BODIES + "\n"), response);
      // The refusal came before the deadline of the first request.
      assertTrue(heldBytes(fixture, HostMemory.REQUEST_BODIES) >= LONG_BODY_BYTES);
      assertTrue(readAll(caller).startsWith("HTTP/1.1 504"));
    }
  }

  private ScriptedEndpoint streamingEndpoint(int events) {
    return new ScriptedEndpoint(
        vertx, (socket, request) -> socket.end(Buffer.buffer(STREAM + EVENT.repeat(events))));
  }

  /** Returns a request of a stream with more time than its caller needs on a busy machine. */
  private static String longRequest() {
    return ForwardFixture.request("POST", "/long/x", "i", "body").replace(": 1500", ": 9500");
  }

  private static void assertWholeStream(String response, int events) {
    assertEquals(response.split("data: ", -1).length - 1, events);
    assertTrue(response.endsWith("0\r\n\r\n"));
  }

  /** Checks for a while that the bytes for slow callers stay within a maximum. */
  private static void assertHeldAtMost(ForwardFixture fixture, long maximum) {
    long endAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200);
    while (System.nanoTime() < endAtNanos) {
      long held = heldBytes(fixture, "slow-callers");
      assertTrue(held <= maximum, held + " bytes");
    }
  }

  // An endpoint's response stayed unread after 64 KB because its caller was slow.
  @Test
  public void responseIsReadOnForSlowCallerUpToItsBound() throws IOException {
    long bound = 1_000_000;
    int events = 1_000;
    MemoryBounds bounds = new MemoryBounds(UNBOUNDED, UNBOUNDED, UNBOUNDED, UNBOUNDED, bound);
    ScriptedEndpoint endpoint = streamingEndpoint(events);
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()), bounds);
        Socket caller = fixture.openNarrow()) {
      write(caller, longRequest());
      await(() -> heldBytes(fixture, "slow-callers") > bound, "reads on up to the bound");
      // One read of at most 256 KB may exceed the bound.
      assertHeldAtMost(fixture, bound + 262_144 + EVENT.length());
      assertWholeStream(readAll(caller), events);
      assertEquals(heldBytes(fixture, "slow-callers"), 0);
    }
  }

  // Many slow callers, each within its bound, must not fill the memory together.
  @Test
  public void slowCallersTogetherAreBounded() throws IOException {
    int callers = 4;
    int events = 600;
    long bound = 400_000;
    MemoryBounds bounds = new MemoryBounds(UNBOUNDED, UNBOUNDED, UNBOUNDED, bound, UNBOUNDED);
    ScriptedEndpoint endpoint = streamingEndpoint(events);
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()), bounds)) {
      List<Socket> sockets = new ArrayList<>();
      for (int caller = 0; caller < callers; caller++) {
        Socket socket = fixture.openNarrow();
        sockets.add(socket);
        write(socket, longRequest());
      }
      await(() -> heldBytes(fixture, "slow-callers") > bound, "reads on up to the bound");
      // Each caller's own queue and one read may exceed the bound.
      long maximum = bound + callers * (65_536L + 262_144 + EVENT.length());
      List<CompletableFuture<String>> responses = new ArrayList<>();
      assertHeldAtMost(fixture, maximum);
      sockets.forEach(
          socket -> responses.add(CompletableFuture.supplyAsync(() -> readAll(socket))));
      responses.forEach(response -> assertWholeStream(response.join(), events));
      assertEquals(heldBytes(fixture, "slow-callers"), 0);
    }
  }

  // The data for a caller that read nothing was held until the caller went away.
  @Test
  public void callerThatReadsNothingLosesItsConnection() throws IOException {
    int length = 4_000_000;
    String body = "x".repeat(length);
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx, (socket, request) -> socket.write(ForwardFixture.response("i", body)));
    MemoryBounds bounds = new MemoryBounds(UNBOUNDED, UNBOUNDED, UNBOUNDED, UNBOUNDED, UNBOUNDED);
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()), bounds);
        Socket stalled = fixture.openNarrow();
        Socket slow = fixture.openNarrow()) {
      String request = ForwardFixture.request("POST", "/unsafe/x", "i", "body");
      write(stalled, request);
      write(slow, request);
      await(() -> heldBytes(fixture, "slow-callers") >= 2L * length, "both are held");
      fixture.closeExpiredConnections();
      fixture.advance(15_100);
      int read = slow.getInputStream().readNBytes(length / 2).length;
      await(
          () -> {
            fixture.closeExpiredConnections();
            return heldBytes(fixture, "slow-callers") <= length;
          },
          "the stalled caller is cut");
      assertTrue(readAll(slow).length() + read > length);
      assertTrue(readAll(stalled).length() < length);
      assertEquals(
          fixture.context().metrics().counter("forward.memory.stalled-callers").getCount(), 1);
      assertEquals(heldBytes(fixture, "slow-callers"), 0);
    }
  }

  // The last write of a connection that was cut as the largest holder was counted for good, and the
  // connection was reported as stalled again at every check.
  @Test
  public void bytesOfLargestHolderAreReleasedOnceItIsCut() throws IOException {
    MemoryBounds bounds = new MemoryBounds(300_000, UNBOUNDED, UNBOUNDED, UNBOUNDED, UNBOUNDED);
    ScriptedEndpoint endpoint = streamingEndpoint(1_000);
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()), bounds);
        Socket caller = fixture.openNarrow()) {
      write(caller, longRequest());
      MetricRegistry metrics = fixture.context().metrics();
      await(
          () -> metrics.counter("forward.memory.bound.responses").getCount() > 0,
          "the connection is cut");
      fixture.closeExpiredConnections();
      assertEquals(heldBytes(fixture, "slow-callers"), 0);
      fixture.advance(15_100);
      fixture.closeExpiredConnections();
      fixture.closeExpiredConnections();
      assertEquals(metrics.counter("forward.memory.stalled-callers").getCount(), 0);
    }
  }
}
