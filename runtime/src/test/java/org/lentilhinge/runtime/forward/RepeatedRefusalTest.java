package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests over sockets that a refusal counts for the request that was refused only. */
public class RepeatedRefusalTest {

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
  public static Object[][] refusals() {
    return new Object[][] {
      {"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
      {"HTTP/1.1 429 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
      {"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"}
    };
  }

  // A faulty server repeated a refusal: callers were told "not run" of requests that had run.
  @Test(dataProvider = "refusals")
  public void repeatedRefusalIsNotTakenForTheNextRequest(String refusal) throws IOException {
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) -> {
              if (request.contains("X-Id: one")) {
                socket.write(refusal);
                // Repeats the refusal on this connection once the next request has arrived.
                socket.handler(
                    unused -> socket.write(refusal + ForwardFixture.response("two", "run")));
              } else {
                socket.write(ForwardFixture.response("two", "run"));
              }
            });
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      String first = fixture.send(ForwardFixture.request("POST", "/unsafe/", "one", ""));
      assertTrue(first.startsWith("HTTP/1.1 503"), first);
      String second = fixture.send(ForwardFixture.request("POST", "/unsafe/", "two", ""));
      assertTrue(second.startsWith("HTTP/1.1 200"), second);
    }
  }

  // A refusal of the host's own call on the same address was repeated for a caller's request.
  @Test(dataProvider = "refusals")
  public void connectionOfRefusedControlCallIsNotReused(String refusal) throws Exception {
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(vertx, (socket, request) -> socket.write(refusal));
    ResponseMatcher ordered = new OrderedResponseMatcher();
    EndpointPool pool =
        new EndpointPool(vertx, 1_000, System::currentTimeMillis, ordered, address -> {});
    ControlHttpClient client =
        new ControlHttpClient(vertx, pool, System::currentTimeMillis, ResponseMemory.ofHeap());
    for (int call = 0; call < 2; call++) {
      client
          .call("GET", endpoint.address(), "/report", Map.of(), Buffer.buffer(), 1_000)
          .toCompletionStage()
          .toCompletableFuture()
          .get();
    }
    assertEquals(endpoint.connections(), 2);
  }
}
