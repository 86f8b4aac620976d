package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests over sockets that endpoints receive no more requests than the limit that they state. */
public class RequestLimitTest {

  private static final long STEP_MILLIS = 100;
  private static final int STEPS = 40;
  private static final long SLOW_RESPONSE_MILLIS = 40;

  /** The number of requests that an endpoint with a limit of 2 a second may receive in 4 s. */
  private static final int MAXIMUM_REQUESTS = 17;

  /** The number that it receives at least, if there are more requests than it accepts. */
  private static final int MINIMUM_REQUESTS = 7;

  private final AtomicReference<String> limitHeader = new AtomicReference<>();
  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void respond(NetSocket socket, String request) {
    String response = ForwardFixture.response("i", "x");
    socket.write(response.replace("\r\nX-Signature", limitHeader.get() + "\r\nX-Signature"));
  }

  private void respondWithFailure(NetSocket socket, String request) {
    String response = ForwardFixture.response("i", "x").replace("200 OK", "500 Failed");
    socket.write(response.replace("\r\nX-Signature", limitHeader.get() + "\r\nX-Signature"));
  }

  private static String send(ForwardFixture fixture, String path) throws IOException {
    fixture.advance(STEP_MILLIS);
    return fixture.send(ForwardFixture.request("POST", path, "i", "body"));
  }

  // A server that had named a limit got far more requests than that from machines that it had told.
  @Test
  public void endpointReceivesNoMoreRequestsThanItsLimit() throws IOException {
    limitHeader.set("\r\nX-Limit: 2");
    ScriptedEndpoint limited = new ScriptedEndpoint(vertx, this::respond);
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(limited.address()))) {
      int refused = 0;
      for (int step = 0; step < STEPS; step++) {
        String response = send(fixture, "/unsafe/x");
        if (!response.startsWith("HTTP/1.1 200")) {
          refused++;
          assertTrue(response.startsWith("HTTP/1.1 503"), response);
          assertTrue(response.contains("retry-after: 0."), response);
        }
      }
      int received = limited.requests().size();
      assertTrue(received <= MAXIMUM_REQUESTS, "received " + received);
      assertTrue(received >= MINIMUM_REQUESTS, "received " + received);
      assertEquals(received + refused, STEPS);
    }
  }

  @Test
  public void failuresAndTheirRetriesCount() throws IOException {
    limitHeader.set("\r\nX-Limit: 2");
    ScriptedEndpoint first = new ScriptedEndpoint(vertx, this::respondWithFailure);
    ScriptedEndpoint second = new ScriptedEndpoint(vertx, this::respondWithFailure);
    List<String> addresses = List.of(first.address(), second.address());
    try (ForwardFixture fixture = new ForwardFixture(vertx, addresses)) {
      for (int step = 0; step < STEPS; step++) {
        send(fixture, "/safe/x");
      }
      for (ScriptedEndpoint endpoint : List.of(first, second)) {
        int received = endpoint.requests().size();
        assertTrue(received <= MAXIMUM_REQUESTS, "received " + received);
      }
    }
  }

  @Test
  public void requestsBeyondTheLimitGoToAnotherEndpointAtOnce() throws IOException {
    limitHeader.set("\r\nX-Limit: 2");
    ScriptedEndpoint limited = new ScriptedEndpoint(vertx, this::respond);
    // The limited endpoint is preferred whenever it accepts a request.
    ScriptedEndpoint other =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                vertx.setTimer(
                    SLOW_RESPONSE_MILLIS, id -> socket.write(ForwardFixture.response("i", "x"))));
    List<String> addresses = List.of(limited.address(), other.address());
    try (ForwardFixture fixture = new ForwardFixture(vertx, addresses)) {
      for (int step = 0; step < STEPS; step++) {
        String response = send(fixture, "/unsafe/x");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
      }
      int received = limited.requests().size();
      assertTrue(received <= MAXIMUM_REQUESTS, "received " + received);
      assertTrue(received >= MINIMUM_REQUESTS, "received " + received);
      assertEquals(received + other.requests().size(), STEPS);
    }
  }

  @Test
  public void responseWithoutLimitLiftsIt() throws IOException {
    limitHeader.set("\r\nX-Limit: 0.5");
    ScriptedEndpoint limited = new ScriptedEndpoint(vertx, this::respond);
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(limited.address()))) {
      assertTrue(send(fixture, "/unsafe/x").startsWith("HTTP/1.1 200"));
      assertTrue(send(fixture, "/unsafe/x").startsWith("HTTP/1.1 503"));
      limitHeader.set("");
      fixture.advance(4_000);
      for (int step = 0; step < STEPS; step++) {
        String response = send(fixture, "/unsafe/x");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
      }
    }
  }
}
