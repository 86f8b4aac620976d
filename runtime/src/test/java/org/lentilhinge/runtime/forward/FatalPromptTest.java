package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests over sockets that requests which crash endpoints are refused. */
public class FatalPromptTest {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n";
  private static final int ENDPOINTS = 6;

  private Vertx vertx;
  private int requests;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @DataProvider
  public static Object[][] beginnings() {
    return new Object[][] {{"id: 1"}, {""}};
  }

  /** Crashes as soon as it begins the response to a request with the fatal part. */
  private static void respond(NetSocket socket, String request, String beginning) {
    if (request.contains("fatal")) {
      socket.write(HEAD + beginning).onSuccess(unused -> socket.close());
    } else {
      String events = "id: 1\ndata: x\n\n";
      String length = "Content-Length: " + events.length() + "\r\n\r\n";
      socket.write(HEAD.substring(0, HEAD.length() - 2) + length + events);
    }
  }

  /** Returns a request whose body differs from all others, so that only its parts are known. */
  private String request(String parts) {
    requests++;
    return ForwardFixture.request("POST", "/stream/x", "i", "body " + requests)
        .replace("\r\nConnection", "\r\nX-Parts: " + parts + "\r\nConnection");
  }

  // Requests with one part in their prompts crashed back ends one after the other.
  @Test(dataProvider = "beginnings")
  public void fatalPartIsNotSentToFurtherEndpoints(String beginning) throws IOException {
    List<ScriptedEndpoint> endpoints = new ArrayList<>();
    for (int index = 0; index < ENDPOINTS; index++) {
      endpoints.add(
          new ScriptedEndpoint(vertx, (socket, request) -> respond(socket, request, beginning)));
    }
    List<String> addresses = endpoints.stream().map(ScriptedEndpoint::address).toList();
    try (ForwardFixture fixture = new ForwardFixture(vertx, addresses)) {
      for (int count = 0; count < 120; count++) {
        assertTrue(fixture.send(request("common,sound")).startsWith("HTTP/1.1 200"));
      }
      int crashes = 0;
      String response = "";
      while (crashes < 2 * ENDPOINTS && !response.startsWith("HTTP/1.1 503")) {
        fixture.advance(400);
        response = fixture.send(request("common,fatal"));
        assertFalse(response.startsWith("HTTP/1.1 200"), response);
        crashes++;
      }
      long fatal =
          endpoints.stream()
              .flatMap(endpoint -> endpoint.requests().stream())
              .filter(text -> text.contains("fatal"))
              .count();
      assertEquals(fatal, 3);
      assertTrue(response.contains("quarantined-prompt"), response);
      assertTrue(response.contains("retry-after: 599"), response);
      assertTrue(fixture.send(request("common,sound")).startsWith("HTTP/1.1 200"));
    }
  }
}
