package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests over sockets what a caller receives if the endpoint that goes on with a stream fails. */
public class BrokenStreamTest {

  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String FIRST_EVENT = "f\r\nid: 1\ndata: a\n\n\r\n";

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @DataProvider
  public static Object[][] responses() {
    return new Object[][] {
      {"500 Failed\r\nX-Id: i\r\nX-Signature: s"},
      {"500 Failed\r\nX-Id: i"},
      {"404 Absent\r\nX-Id: i\r\nX-Signature: s"},
      {"302 Elsewhere\r\nX-Id: i"},
      {"200 OK\r\nX-Id: i\r\nX-Signature: s\r\nContent-Type: text/plain"},
      {"200 OK\r\nX-Id: i"},
      {"429 Busy\r\nX-Id: i"},
      {"503 Full\r\nX-Not-Executed: 1"}
    };
  }

  // Callers found the text of an error in the middle of their stream, which looked complete.
  @Test(dataProvider = "responses")
  public void otherResponseIsNotPartOfStream(String statusAndHeaders) throws IOException {
    ScriptedEndpoint broken =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                socket.write(STREAM_HEAD + FIRST_EVENT).onComplete(unused -> socket.close()));
    ScriptedEndpoint failing =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                socket.write("HTTP/1.1 " + statusAndHeaders + "\r\nContent-Length: 4\r\n\r\noops"));
    List<String> addresses = List.of(broken.address(), failing.address());
    try (ForwardFixture fixture = new ForwardFixture(vertx, addresses)) {
      String response = fixture.send(ForwardFixture.request("POST", "/resumable/", "i", ""));
      assertEquals(failing.requests().size(), 1);
      assertTrue(response.endsWith(FIRST_EVENT), response);
      assertFalse(response.contains("oops"), response);
      assertEquals(response.split("HTTP/1.1", -1).length, 2, response);
    }
  }
}
