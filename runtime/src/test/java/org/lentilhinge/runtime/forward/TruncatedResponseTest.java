package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.ChannelOption;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a response that an endpoint breaks off at any position never looks complete. */
public class TruncatedResponseTest {

  private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";
  private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: s\r\n";
  private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  private static final Pattern CUT = Pattern.compile("/cut-(\\d+)-(\\w+)-(\\w+)-");

  private Vertx vertx;
  private ScriptedEndpoint endpoint;

  /** The ways in which a response states its length. */
  private enum Framing {
    LENGTH(HEAD + "Content-Length: 6\r\n\r\nabcdef"),
    CHUNKS(HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n"),
    EVENT_CHUNKS(
        HEAD
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n1e\r\n"
            + EVENTS
            + "\r\n0\r\n\r\n"),
    UNTIL_CLOSE(HEAD + "\r\nabcdef"),
    AFTER_INTERIM(INTERIM + HEAD + "Content-Length: 6\r\n\r\nabcdef");

    private final String text;

    Framing(String text) {
      this.text = text;
    }

    /** Returns the number of positions at which a cut can be told from the end of the response. */
    int cuts(boolean reset) {
      boolean endsByClosing = this == UNTIL_CLOSE && !reset;
      return endsByClosing ? text.indexOf("\r\n\r\n") + 3 : text.length() - 1;
    }
  }

  /** The ways in which the connection ends; {@code PAUSED} closes it after two writes. */
  private enum End {
    CLOSE,
    RESET,
    PAUSED
  }

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
    endpoint = new ScriptedEndpoint(vertx, this::respond);
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void respond(NetSocket socket, String request) {
    Matcher matcher = CUT.matcher(request);
    if (!matcher.find()) {
      socket.close();
      return;
    }
    int length = Integer.parseInt(matcher.group(1));
    if (length == Framing.valueOf(matcher.group(2)).text.length()) {
      socket.write(Framing.valueOf(matcher.group(2)).text);
      return;
    }
    String text = Framing.valueOf(matcher.group(2)).text.substring(0, length);
    End end = End.valueOf(matcher.group(3));
    if (end == End.PAUSED) {
      socket.write(text.substring(0, length / 2));
      vertx.setTimer(1, id -> socket.write(text.substring(length / 2)).eventually(socket::close));
    } else {
      socket.write(text).onComplete(written -> end(socket, end));
    }
  }

  private static void end(NetSocket socket, End end) {
    if (end == End.RESET) {
      ((NetSocketInternal) socket)
          .channelHandlerContext()
          .channel()
          .config()
          .setOption(ChannelOption.SO_LINGER, 0);
    }
    socket.close();
  }

  private static String path(String prefix, int length, Framing framing, End end) {
    return prefix + "cut-" + length + '-' + framing + '-' + end + '-';
  }

  /** Indicates whether a caller would take a response for a complete success. */
  private static boolean looksComplete(String response) {
    int headEnd = response.indexOf("\r\n\r\n");
    if (!response.startsWith("HTTP/1.1 200") || headEnd < 0) {
      return false;
    }
    String head = response.substring(0, headEnd).toLowerCase(Locale.ROOT);
    if (head.contains("transfer-encoding: chunked")) {
      return response.endsWith("0\r\n\r\n");
    }
    Matcher matcher = Pattern.compile("content-length: (\\d+)").matcher(head);
    return !matcher.find() || response.length() - headEnd - 4 >= Integer.parseInt(matcher.group(1));
  }

  @DataProvider
  public static Object[][] prefixes() {
    return new Object[][] {{"/safe/"}, {"/unsafe/"}, {"/stream/"}, {"/resumable/"}};
  }

  // Callers got a success with a short body after a server had stopped within its response.
  @Test(dataProvider = "prefixes")
  public void truncatedResponseNeverLooksComplete(String prefix) throws IOException {
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      for (Framing framing : Framing.values()) {
        for (End end : End.values()) {
          for (int length = 0; length <= framing.cuts(end == End.RESET); length++) {
            String path = path(prefix, length, framing, end);
            String response =
                fixture.send(ForwardFixture.request("POST", path, "i", "body of " + path));
            assertFalse(looksComplete(response), path + " answered with " + response);
          }
        }
      }
    }
  }

  @Test(dataProvider = "prefixes")
  public void wholeResponseIsPassedOn(String prefix) throws IOException {
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      for (Framing framing : Framing.values()) {
        if (framing != Framing.UNTIL_CLOSE) {
          String path = path(prefix, framing.text.length(), framing, End.CLOSE);
          String response = fixture.send(ForwardFixture.request("POST", path, "i", path));
          assertTrue(looksComplete(response), path + " answered with " + response);
        }
      }
    }
  }

  @Test
  public void truncatedControlResponseIsRefused() {
    LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    ControlHttpClient client =
        new ControlHttpClient(
            vertx,
            new EndpointPool(vertx, 1_000, clock, new OrderedResponseMatcher(), address -> {}),
            clock,
            ResponseMemory.ofHeap());
    for (Framing framing : Framing.values()) {
      for (End end : End.values()) {
        for (int length = 0; length <= framing.cuts(end == End.RESET); length++) {
          String path = path("/", length, framing, end);
          boolean accepted =
              client
                  .read(endpoint.address(), path, 1_000)
                  .map(response -> true)
                  .otherwise(false)
                  .toCompletionStage()
                  .toCompletableFuture()
                  .join();
          assertFalse(accepted, path);
        }
      }
    }
  }
}
