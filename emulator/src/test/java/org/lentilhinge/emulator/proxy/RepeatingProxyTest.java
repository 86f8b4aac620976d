package org.lentilhinge.emulator.proxy;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a client that pairs responses with requests by order gets repeated responses. */
public class RepeatingProxyTest {

  private static final String ID_HEADER = "X-Request-Id";
  private static final int TIMEOUT_MILLIS = 10_000;

  private final Vertx vertx = Vertx.vertx();

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @DataProvider
  public static Object[][] cases() {
    return Arrays.stream(RepeatedResponse.values())
        .flatMap(form -> List.of(false, true).stream().map(chunked -> new Object[] {form, chunked}))
        .toArray(Object[][]::new);
  }

  // Guards against bytes that reach the client in another order than the requests, or not at all.
  @Test(dataProvider = "cases")
  public void keptConnectionGetsFormerResponseOnceMore(RepeatedResponse form, boolean chunked)
      throws IOException {
    int port = startProxy(form, chunked);
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      assertEquals(exchange(socket, "one").body(), "/one");
      Response second = exchange(socket, "two");
      assertEquals(second.body(), "/one");
      List<String> names =
          switch (form) {
            case NAMED -> List.of("one");
            case NAMED_TWICE -> List.of("one", "two");
            default -> List.of();
          };
      assertEquals(second.names(), names);
      assertEquals(read(socket.getInputStream()).body(), "/two");
    }
  }

  private int startProxy(RepeatedResponse form, boolean chunked) {
    HttpServer server =
        vertx
            .createHttpServer()
            .requestHandler(request -> request.response().setChunked(chunked).end(request.path()));
    int port = await(server.listen(0, "127.0.0.1")).actualPort();
    return new RepeatingProxy(vertx, form, ID_HEADER).start(port).blockingGet();
  }

  /** Sends a request and returns the response that comes next, whatever request it belongs to. */
  private static Response exchange(Socket socket, String id) throws IOException {
    String request = "GET /" + id + " HTTP/1.1\r\nHost: h\r\n" + ID_HEADER + ": " + id + "\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return read(socket.getInputStream());
  }

  /** Reads one response byte by byte, so that the bytes of the next one stay unread. */
  private static Response read(InputStream input) throws IOException {
    List<String> head = new ArrayList<>();
    for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
      head.add(line);
    }
    String body;
    if (values(head, "transfer-encoding").isEmpty()) {
      int length = Integer.parseInt(values(head, "content-length").get(0));
      body = new String(input.readNBytes(length), StandardCharsets.ISO_8859_1);
    } else {
      body = readChunks(input);
    }
    return new Response(body, values(head, ID_HEADER));
  }

  private static String readChunks(InputStream input) throws IOException {
    StringBuilder body = new StringBuilder();
    int length;
    do {
      length = Integer.parseInt(readLine(input), 16);
      body.append(new String(input.readNBytes(length), StandardCharsets.ISO_8859_1));
      assertEquals(readLine(input), "");
    } while (length > 0);
    return body.toString();
  }

  private static String readLine(InputStream input) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended after: " + line);
      }
      line.append((char) next);
    }
    return line.toString().strip();
  }

  private static List<String> values(List<String> head, String header) {
    String prefix = header + ": ";
    return head.stream()
        .filter(line -> line.regionMatches(true, 0, prefix, 0, prefix.length()))
        .map(line -> line.substring(prefix.length()))
        .toList();
  }

  private static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().join();
  }

  private record Response(String body, List<String> names) {}
}
