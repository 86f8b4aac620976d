package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests over sockets that each response on the connection of a caller belongs to its request. */
public class CallerConnectionTest {

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static String request(String method, String path, String id, String connection) {
    return method
        + ' '
        + path
        + " HTTP/1.1\r\nHost: h\r\nX-Id: "
        + id
        + "\r\nX-Deadline: 1500\r\nConnection: "
        + connection
        + "\r\n\r\n";
  }

  /** Returns an endpoint that responds to each request by a body of three bytes. */
  private ScriptedEndpoint endpoint() {
    return new ScriptedEndpoint(
        vertx,
        (socket, request) -> {
          String id = request.replaceFirst("(?s).*X-Id: (\\w+).*", "$1");
          String body = request.startsWith("HEAD") ? "" : "own";
          socket.write(
              "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: "
                  + id
                  + "\r\nContent-Length: 3\r\n\r\n"
                  + body);
        });
  }

  private static String exchange(ForwardFixture fixture, String requests) throws IOException {
    try (Socket socket = fixture.open()) {
      socket.getOutputStream().write(requests.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  @DataProvider
  public static Object[][] headTargets() {
    return new Object[][] {{"/unknown/", "404"}, {"/safe/", "200"}};
  }

  // The body of a response to HEAD was read as the beginning of the response to the next request.
  @Test(dataProvider = "headTargets")
  public void responseToHeadHasNoBody(String path, String status) throws IOException {
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint().address()))) {
      String responses =
          exchange(
              fixture,
              request("HEAD", path, "one", "keep-alive")
                  + request("GET", "/safe/", "two", "close"));
      assertTrue(responses.startsWith("HTTP/1.1 " + status), responses);
      String first = responses.substring(0, responses.indexOf("\r\n\r\n"));
      String second = responses.substring(first.length() + 4);
      assertTrue(second.startsWith("HTTP/1.1 200"), responses);
      assertTrue(first.matches("(?is).*content-length: [1-9].*"), first);
    }
  }

  // A pipelined request that ended the connection lost its response.
  @Test
  public void lastPipelinedRequestIsAnswered() throws IOException {
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint().address()))) {
      String responses =
          exchange(
              fixture,
              request("GET", "/safe/", "one", "keep-alive")
                  + request("GET", "/safe/", "two", "close"));
      assertEquals(responses.split("HTTP/1.1 200", -1).length, 3, responses);
    }
  }
}
