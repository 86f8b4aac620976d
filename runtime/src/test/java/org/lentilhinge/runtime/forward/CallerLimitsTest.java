package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.lentilhinge.forward.ForwardLimits;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests over sockets that changed limits of callers hold on connections that were kept open. */
public class CallerLimitsTest {

  private static final int SMALL_BYTES = 1_000;
  private static final int LARGE_BYTES = 10_000;
  private static final ForwardLimits LOW = new ForwardLimits(4_000, 4_000, 3_000, 15_000);
  private static final ForwardLimits HIGH = new ForwardLimits(40_000, 40_000, 3_000, 15_000);

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private ForwardFixture open(ForwardLimits limits) throws IOException {
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) -> {
              String id = request.replaceFirst("(?s).*X-Id: (\\w+).*", "$1");
              socket.write(
                  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: "
                      + id
                      + "\r\nContent-Length: 0\r\n\r\n");
            });
    ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()));
    fixture.changeLimits(limits, 2);
    return fixture;
  }

  /** A connection that is kept open, on which one request is sent at a time. */
  private static final class KeptConnection implements AutoCloseable {
    private final Socket socket;
    private final BufferedReader responses;
    private int requests;

    KeptConnection(ForwardFixture fixture) throws IOException {
      socket = fixture.open();
      responses =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    int exchange(int headerBytes, int bodyBytes) throws IOException {
      sendHead(headerBytes, bodyBytes);
      return sendBody(bodyBytes);
    }

    /** Sends a head and waits until the host asks for the body. */
    void beginRequest(int bodyBytes) throws IOException {
      sendHead(0, bodyBytes, "Expect: 100-continue\r\n");
      assertEquals(readStatus(), 100);
    }

    void sendHead(int headerBytes, int bodyBytes) throws IOException {
      sendHead(headerBytes, bodyBytes, "");
    }

    private void sendHead(int headerBytes, int bodyBytes, String header) throws IOException {
      requests++;
      send(
          "POST /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: r"
              + requests
              + "\r\nX-Deadline: 1500\r\nX-Filler: "
              + "f".repeat(headerBytes)
              + "\r\n"
              + header
              + "Content-Length: "
              + bodyBytes
              + "\r\n\r\n");
    }

    int sendBody(int bodyBytes) throws IOException {
      send("b".repeat(bodyBytes));
      return readStatus();
    }

    private void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private int readStatus() throws IOException {
      int status = Integer.parseInt(responses.readLine().split(" ")[1]);
      int length = 0;
      for (String line = responses.readLine(); !line.isEmpty(); line = responses.readLine()) {
        if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
          length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
        }
      }
      responses.skip(length);
      return status;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  // Guards against limits that hold for as long as a connection is open (review/8).
  @Test
  public void raisedBodyLimitHoldsForNextRequest() throws IOException {
    try (ForwardFixture fixture = open(LOW);
        KeptConnection kept = new KeptConnection(fixture)) {
      assertEquals(kept.exchange(0, SMALL_BYTES), 200);
      fixture.changeLimits(HIGH, 3);
      assertEquals(kept.exchange(0, LARGE_BYTES), 200);
    }
  }

  @Test
  public void raisedHeaderLimitHoldsForNextRequest() throws IOException {
    try (ForwardFixture fixture = open(LOW);
        KeptConnection kept = new KeptConnection(fixture)) {
      assertEquals(kept.exchange(SMALL_BYTES, 0), 200);
      fixture.changeLimits(HIGH, 3);
      assertEquals(kept.exchange(LARGE_BYTES, 0), 200);
    }
  }

  @Test
  public void loweredLimitsHoldForNextRequest() throws IOException {
    try (ForwardFixture fixture = open(HIGH);
        KeptConnection kept = new KeptConnection(fixture);
        KeptConnection other = new KeptConnection(fixture)) {
      assertEquals(kept.exchange(0, LARGE_BYTES), 200);
      assertEquals(other.exchange(LARGE_BYTES, 0), 200);
      fixture.changeLimits(LOW, 3);
      assertEquals(kept.exchange(0, LARGE_BYTES), 413);
      assertEquals(other.exchange(LARGE_BYTES, 0), 431);
    }
  }

  @Test
  public void loweredLimitDoesNotCutRequestThatHasBegun() throws IOException {
    try (ForwardFixture fixture = open(HIGH);
        KeptConnection kept = new KeptConnection(fixture)) {
      assertEquals(kept.exchange(0, SMALL_BYTES), 200);
      kept.beginRequest(LARGE_BYTES);
      fixture.changeLimits(LOW, 3);
      assertEquals(kept.sendBody(LARGE_BYTES), 200);
      assertEquals(kept.exchange(0, LARGE_BYTES), 413);
    }
  }

  @Test
  public void changedLimitsKeepRequestsThatArriveTogether() throws IOException {
    try (ForwardFixture fixture = open(LOW);
        KeptConnection kept = new KeptConnection(fixture)) {
      for (int version = 3; version < 30; version++) {
        fixture.changeLimits(version % 2 == 0 ? LOW : HIGH, version);
        kept.sendHead(SMALL_BYTES, 0);
        kept.sendHead(SMALL_BYTES, 0);
        assertEquals(kept.readStatus(), 200);
        assertEquals(kept.readStatus(), 200);
      }
    }
  }
}
