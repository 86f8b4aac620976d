package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the bytes of a faulty endpoint are not kept without end, and that the requests of
 * other callers do not suffer meanwhile.
 */
public class EndlessBytesTest {

  /**
   * The bytes that may leave an endpoint before it is cut off: the longest body, and what the
   * buffers of the operating system hold.
   */
  private static final long MAXIMUM_ACCEPTED_BYTES = 16_777_216;

  private static final String FILLER = "x".repeat(10_000);
  private static final String OWN = "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: s\r\n";
  private static final String OTHER = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\n";
  private static final String REFUSED = "HTTP/1.1 503 Full\r\nX-Id: i\r\nX-Not-Executed: 1\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
  private static final String EVENTS = "Content-Type: text/event-stream\r\n" + CHUNKED;

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Returns an endpoint that answers one kind of request in full, and floods all others. */
  private FloodingEndpoint endpoint(String head, String repeated) {
    return new FloodingEndpoint(
        vertx,
        (endpoint, arrival) -> {
          if (arrival.text().contains("X-Id: sound")) {
            arrival.socket().write(ForwardFixture.response("sound", "sound"));
          } else {
            endpoint.flood(arrival.socket(), head, repeated);
          }
        });
  }

  private static String sound(ForwardFixture fixture) throws IOException {
    return fixture.send(ForwardFixture.request("POST", "/unsafe/x", "sound", "body"));
  }

  @DataProvider
  public Object[][] endless() {
    String line = "X-More: 1\r\n";
    return new Object[][] {
      {"head: one line", "/unsafe/", "", FILLER},
      {"head: a status line", "/unsafe/", "HTTP/1.1 200 ", FILLER},
      {"head: one header", "/unsafe/", "HTTP/1.1 200 OK\r\nX-Id: ", FILLER},
      {"head: header lines", "/unsafe/", OWN, line.repeat(900)},
      {"head: interim responses", "/unsafe/", "", "HTTP/1.1 103 Early\r\n\r\n"},
      {"head: interim responses with lines", "/unsafe/", "HTTP/1.1 103 Early\r\n", line},
      {"head: trailers", "/unsafe/", OWN + CHUNKED + "0\r\n", line.repeat(900)},
      {"head: one trailer", "/unsafe/", OWN + CHUNKED + "0\r\nX-More: ", FILLER},
      {"body: one chunk extension", "/unsafe/", OWN + CHUNKED + "1;x=", FILLER},
      {"body: chunk extensions", "/unsafe/", OWN + CHUNKED, "1;x=" + FILLER + "\r\nx\r\n"},
      {"event: chunk extensions", "/stream/", OWN + EVENTS, "1;x=" + FILLER + "\r\nx\r\n"},
      {"skipped: chunk extensions", "/unsafe/", OTHER + CHUNKED, "1;x=" + FILLER + "\r\nx\r\n"},
      {"blank lines", "/unsafe/", "", "\r\n".repeat(5_000)},
      {"body: one chunk", "/unsafe/", OWN + CHUNKED + "7fffffff\r\n", FILLER},
      {"body: false length", "/unsafe/", OWN + "Content-Length: 9999999999\r\n\r\n", FILLER},
      {"body: no length", "/unsafe/", OWN + "\r\n", FILLER},
      {"body of a stream's failure", "/stream/", "HTTP/1.1 500 S\r\nX-Id: i\r\n\r\n", FILLER},
      {"body of a stream of another type", "/stream/", OWN + "\r\n", FILLER},
      {"body of a refusal", "/unsafe/", REFUSED + "\r\n", FILLER},
      {"skipped body", "/unsafe/", OTHER + "\r\n", FILLER},
      {"skipped responses", "/unsafe/", "", OTHER + "Content-Length: 0\r\n\r\n"},
      {"skipped trailers", "/unsafe/", OTHER + CHUNKED + "0\r\n", line.repeat(900)},
      {"event", "/stream/", OWN + EVENTS, chunk(FILLER)},
      {"event of small chunks", "/stream/", OWN + EVENTS, chunk("x".repeat(50)).repeat(50)},
      {"event to take up", "/resumable/", OWN + EVENTS + chunk("id: 1\n\n"), chunk(FILLER)},
    };
  }

  // A host kept what a faulty server sent without end, and ran out of memory.
  @Test(dataProvider = "endless")
  public void endlessResponseEndsItsRequestAlone(
      String what, String path, String head, String repeated)
      throws IOException, InterruptedException {
    FloodingEndpoint endless = endpoint(head, repeated);
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endless.address()));
        Socket caller = fixture.open()) {
      String request = ForwardFixture.request("POST", path, "i", "body");
      caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      assertTrue(sound(fixture).endsWith("sound"), what);
      String response =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertFalse(response.endsWith("0\r\n\r\n"), what);
      assertFalse(response.contains("xxx"), what);
      boolean begun = path.equals("/resumable/");
      assertTrue(response.startsWith(begun ? "HTTP/1.1 200" : "HTTP/1.1 502"), what + response);
      assertTrue(endless.awaitClosed(), what);
      assertTrue(sound(fixture).endsWith("sound"), what);
      assertEquals(fixture.oversizedResponses("e0"), 1, what);
    }
    long accepted = endless.acceptedBytes();
    assertTrue(accepted <= MAXIMUM_ACCEPTED_BYTES, what + ": " + accepted + " bytes");
  }

  // The events of a stream without end were all kept for a caller that did not read them.
  @Test
  public void endlessEventsAreNotKeptForStalledCaller() throws IOException, InterruptedException {
    String event = chunk("data: " + FILLER + "\n\n");
    FloodingEndpoint endless = endpoint(OWN + EVENTS, event);
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endless.address()));
        Socket caller = fixture.open()) {
      String request = ForwardFixture.request("POST", "/stream/x", "i", "body");
      caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      assertTrue(sound(fixture).endsWith("sound"));
      // The deadline of the request ends the attempt.
      assertTrue(endless.awaitClosed());
      assertTrue(sound(fixture).endsWith("sound"));
    }
    long accepted = endless.acceptedBytes();
    assertTrue(accepted <= MAXIMUM_ACCEPTED_BYTES, accepted + " bytes");
  }

  // A stream that waits for its caller must not lose its end, although its endpoint is done.
  @Test
  public void slowCallerReceivesWholeStream() throws IOException {
    String event = "data: " + FILLER + "\n\n";
    int events = 800;
    ScriptedEndpoint done =
        new ScriptedEndpoint(
            vertx,
            (socket, request) -> {
              if (request.contains("X-Id: sound")) {
                socket.write(ForwardFixture.response("sound", "sound"));
                return;
              }
              String head = OWN + "Content-Type: text/event-stream\r\n\r\n";
              socket.end(Buffer.buffer(head + event.repeat(events)));
            });
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(done.address()));
        Socket caller = fixture.openNarrow()) {
      String request = ForwardFixture.request("POST", "/stream/x", "i", "body");
      caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      assertTrue(sound(fixture).endsWith("sound"));
      String response =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertEquals(response.split("data: ", -1).length - 1, events);
      assertTrue(response.endsWith("0\r\n\r\n"));
    }
  }

  @DataProvider
  public Object[][] unfinished() {
    String failed = "HTTP/1.1 500 S\r\nX-Id: i\r\n";
    return new Object[][] {
      {"bodies", "/unsafe/", OWN + "Content-Length: 2000000\r\n\r\n", 1_000_000},
      {"bodies of failures", "/safe/", failed + "Content-Length: 2000000\r\n\r\n", 1_000_000},
      {"events", "/stream/", OWN + EVENTS + "F4240\r\n", 999_999},
    };
  }

  // Many responses, each within its bound, took more memory together than the host has.
  @Test(dataProvider = "unfinished")
  public void unfinishedResponsesTogetherAreBounded(
      String what, String path, String head, int heldBytes) throws IOException {
    int callers = 24;
    String unfinished = head + "x".repeat(heldBytes);
    ScriptedEndpoint stalling =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                socket.write(
                    request.contains("X-Id: sound")
                        ? ForwardFixture.response("sound", "sound")
                        : unfinished));
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(stalling.address()))) {
      List<Socket> sockets = new ArrayList<>();
      for (int caller = 0; caller < callers; caller++) {
        Socket socket = fixture.open();
        sockets.add(socket);
        String request = ForwardFixture.request("POST", path, "i", "body");
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      }
      assertTrue(sound(fixture).endsWith("sound"), what);
      int ended = 0;
      for (Socket socket : sockets) {
        String response =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        boolean endedEarly = response.startsWith("HTTP/1.1 502");
        assertTrue(endedEarly || response.startsWith("HTTP/1.1 504"), what + response);
        ended += endedEarly ? 1 : 0;
        socket.close();
      }
      long held = (long) (callers - ended) * heldBytes;
      assertTrue(held <= ForwardFixture.MAXIMUM_HELD_BYTES, what + ": " + held + " bytes");
      assertEquals(fixture.oversizedResponses("e0"), ended, what);
      assertTrue(sound(fixture).endsWith("sound"), what);
    }
  }

  // Responses that their callers did not read took more memory together than the host has.
  @Test
  public void unreadResponsesTogetherAreBounded() throws IOException {
    int callers = 24;
    String body = "x".repeat(4_000_000);
    AtomicInteger answered = new AtomicInteger();
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                socket
                    .write(
                        request.contains("X-Id: sound")
                            ? ForwardFixture.response("sound", "sound")
                            : ForwardFixture.response("i", body))
                    .onSuccess(unused -> answered.incrementAndGet()));
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      List<Socket> sockets = new ArrayList<>();
      for (int caller = 0; caller < callers; caller++) {
        Socket socket = fixture.openNarrow();
        sockets.add(socket);
        String request = ForwardFixture.request("POST", "/unsafe/x", "i", "body");
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      }
      while (answered.get() < callers) {
        assertTrue(sound(fixture).endsWith("sound"));
      }
      int complete = 0;
      for (Socket socket : sockets) {
        complete += isComplete(socket, body.length()) ? 1 : 0;
        socket.close();
      }
      // The buffers of the operating system hold less than half of a body.
      long held = (long) complete * body.length() / 2;
      assertTrue(held <= ForwardFixture.MAXIMUM_HELD_BYTES, complete + " complete responses");
      assertTrue(sound(fixture).endsWith("sound"));
    }
  }

  private static boolean isComplete(Socket socket, int length) {
    try {
      return socket.getInputStream().readAllBytes().length > length;
    } catch (IOException exception) {
      // The host has reset the connection.
      return false;
    }
  }

  // Bytes on a connection in the pool, for which no request was in flight.
  @Test
  public void endlessBytesOnIdleConnectionCloseIt() throws IOException, InterruptedException {
    FloodingEndpoint endless =
        new FloodingEndpoint(
            vertx,
            (endpoint, arrival) -> {
              String sound = ForwardFixture.response("sound", "sound");
              if (endpoint.connections() == 1) {
                arrival
                    .socket()
                    .write(sound)
                    .onSuccess(
                        unused ->
                            vertx.setTimer(50, id -> endpoint.flood(arrival.socket(), "", FILLER)));
              } else {
                arrival.socket().write(sound);
              }
            });
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endless.address()))) {
      assertTrue(sound(fixture).endsWith("sound"));
      assertTrue(endless.awaitClosed());
      assertTrue(sound(fixture).endsWith("sound"));
    }
    assertEquals(endless.connections(), 2);
    long accepted = endless.acceptedBytes();
    assertTrue(accepted <= MAXIMUM_ACCEPTED_BYTES, accepted + " bytes");
  }
}
