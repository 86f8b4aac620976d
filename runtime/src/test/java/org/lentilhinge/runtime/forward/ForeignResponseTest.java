package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lentilhinge.runtime.forward.StutteringEndpoint.Framing;
import org.lentilhinge.runtime.forward.StutteringEndpoint.Mark;
import org.lentilhinge.runtime.forward.StutteringEndpoint.Moment;
import org.lentilhinge.runtime.forward.StutteringEndpoint.Stutter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests over sockets that callers receive responses to their own requests only. */
public class ForeignResponseTest {

  private static final int CASES = 400;

  /** The time after which an address that answered twice is taken for a sound one again. */
  private static final long EXPIRY_MILLIS = 61_000;

  /** The time that the callers allow, in milliseconds. */
  private static final long DEADLINE_MILLIS = 1_500;

  private static final String FAILURE =
      "HTTP/1.1 500 S\r\nX-Signature: s\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n";

  private static final List<String> PATHS =
      List.of("/safe/", "/unsafe/", "/stream/", "/resumable/");
  private static final List<Integer> FOREIGN_STATUSES = List.of(200, 200, 200, 404, 429, 500, 503);
  private static final List<Integer> OWN_STATUSES = List.of(200, 404, 500, 500, 503);

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
  public static Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}};
  }

  // Endpoints that answered twice gave callers a success where their own request had failed.
  @Test(dataProvider = "seeds")
  public void repeatedResponseIsNotTakenForTheNextRequest(long seed) throws IOException {
    Random random = new Random(seed);
    StutteringEndpoint endpoint = new StutteringEndpoint(vertx);
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      for (int number = 0; number < CASES; number++) {
        // A connection that is open already, and an address that has not answered twice yet.
        fixture.advance(EXPIRY_MILLIS);
        play(fixture, endpoint, randomCase(random, number), "seed " + seed);
      }
    }
    assertTrue(endpoint.sharedConnections() > CASES / 4, endpoint.sharedConnections() + " shared");
  }

  private static Stutter randomCase(Random random, int number) {
    Framing framing = pick(random, List.of(Framing.LENGTH, Framing.CHUNKED, Framing.EVENTS));
    return new Stutter(
        number,
        pick(random, PATHS),
        pick(random, List.of(Mark.values())),
        framing,
        pick(random, List.of(Moment.values())),
        random.nextDouble(),
        framing == Framing.EVENTS ? 200 : pick(random, FOREIGN_STATUSES),
        pick(random, OWN_STATUSES));
  }

  private static <T> T pick(Random random, List<T> values) {
    return values.get(random.nextInt(values.size()));
  }

  private static String play(
      ForwardFixture fixture, StutteringEndpoint endpoint, Stutter stutter, String run)
      throws IOException {
    endpoint.play(stutter);
    String method = stutter.path().equals("/safe/") ? "GET" : "POST";
    String path = stutter.path() + stutter.number();
    String former = fixture.send(ForwardFixture.request(method, path, stutter.formerId(), ""));
    assertTrue(former.startsWith("HTTP/1.1 200"), run + ' ' + stutter + ": " + former);
    String own = fixture.send(ForwardFixture.request(method, path, stutter.ownId(), ""));
    assertFalse(own.contains("foreign"), run + ' ' + stutter + ": " + own);
    if (stutter.isUnnamedRefusal()) {
      boolean unknown = own.startsWith("HTTP/1.1 502");
      boolean answered = own.startsWith("HTTP/1.1 " + stutter.ownStatus() + ' ');
      assertTrue(unknown || answered, run + ' ' + stutter + ": " + own);
    } else if (!stutter.framing().hidesNextResponse()) {
      String expected = "HTTP/1.1 " + stutter.ownStatus() + ' ';
      assertTrue(own.startsWith(expected), run + ' ' + stutter + ": " + own);
    }
    return own;
  }

  @DataProvider
  public static Object[][] hidingFramings() {
    return new Object[][] {{Framing.UNFRAMED}, {Framing.FALSE_LENGTH}, {Framing.CUT}};
  }

  // The actual response cannot be found behind such a repeated one, which must not be passed on.
  @Test(dataProvider = "hidingFramings")
  public void repeatedResponseWithoutValidEndIsNotPassedOn(Framing framing) throws IOException {
    StutteringEndpoint endpoint = new StutteringEndpoint(vertx);
    int number = 0;
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      for (String path : PATHS) {
        for (Mark mark : Mark.values()) {
          Stutter stutter =
              new Stutter(number++, path, mark, framing, Moment.BEFORE_OWN, 1, 200, 500);
          fixture.advance(EXPIRY_MILLIS);
          String own = play(fixture, endpoint, stutter, "");
          assertFalse(own.startsWith("HTTP/1.1 2"), stutter + ": " + own);
          assertFalse(own.startsWith("HTTP/1.1 503"), stutter + ": " + own);
        }
      }
    }
  }

  // A late response to the first of two requests with one id was taken for that to the second.
  @Test
  public void connectionCarriesAnIdOnce() throws IOException {
    String success = ForwardFixture.response("one", "former");
    AtomicBoolean former = new AtomicBoolean(true);
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) -> {
              socket.write(former.getAndSet(false) ? success : FAILURE);
              socket.handler(unused -> socket.write(success + FAILURE));
            });
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      String first = fixture.send(ForwardFixture.request("POST", "/unsafe/", "one", ""));
      assertTrue(first.startsWith("HTTP/1.1 200"), first);
      String second = fixture.send(ForwardFixture.request("POST", "/unsafe/", "one", ""));
      assertTrue(second.startsWith("HTTP/1.1 500"), second);
    }
  }

  @DataProvider
  public static Object[][] unnamedRequests() {
    return new Object[][] {
      {"GET", ""},
      {"GET", "X-Id: \r\n"},
      {"GET", "X-Id: one\r\nX-Id: two\r\n"},
      {"GET", "X-Id: one\r\nConnection: X-Id\r\n"},
      {"HEAD", "X-Id: one\r\n"}
    };
  }

  // A response to a request without one id can only be recognized on a connection of its own.
  @Test(dataProvider = "unnamedRequests")
  public void requestWithoutOneIdHasConnectionOfItsOwn(String method, String headers)
      throws IOException {
    String body = method.equals("HEAD") ? "" : "own";
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                socket.write(
                    "HTTP/1.1 200 OK\r\n"
                        + (method.equals("HEAD") ? headers : "")
                        + "X-Signature: s\r\nContent-Length: 3\r\n\r\n"
                        + body));
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      for (int attempt = 0; attempt < 2; attempt++) {
        String response =
            fixture.send(
                method + " /safe/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + headers + "\r\n");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
      }
      // The address is not taken for one that names no requests.
      String named = fixture.send(ForwardFixture.request("GET", "/safe/", "three", ""));
      assertFalse(named.isEmpty());
    }
    assertEquals(endpoint.connections(), 3);
  }

  // A success that names no request was given to the first caller of a connection.
  @Test
  public void successMustNameItsRequest() throws IOException {
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                socket.write(
                    "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 7\r\n\r\nforeign"
                        + FAILURE));
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      String response = fixture.send(ForwardFixture.request("POST", "/unsafe/", "one", ""));
      assertTrue(response.startsWith("HTTP/1.1 500"), response);
    }
  }

  @DataProvider
  public static Object[][] unnamedFinalResponses() {
    return new Object[][] {
      {"HTTP/1.1 503 S\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
      {"HTTP/1.1 503 S\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
      {"HTTP/1.1 429 S\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
      {"HTTP/1.1 421 S\r\nContent-Length: 0\r\n\r\n"}
    };
  }

  // A request waited until its deadline for a response that the endpoint would not send any more.
  @Test(dataProvider = "unnamedFinalResponses")
  public void unnamedFinalResponseEndsTheAttempt(String unnamed) throws IOException {
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                socket.write(
                    request.contains("X-Id: one")
                        ? ForwardFixture.response("one", "own")
                        : unnamed));
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.send(ForwardFixture.request("POST", "/unsafe/", "one", ""));
      long startedAtMillis = fixture.now();
      String unknown = fixture.send(ForwardFixture.request("POST", "/unsafe/", "two", ""));
      assertTrue(unknown.startsWith("HTTP/1.1 502"), unknown);
      assertTrue(fixture.now() - startedAtMillis < DEADLINE_MILLIS, unknown);
    }
  }

  // The refusals of an endpoint that does not name requests ended in failures for its callers.
  @Test
  public void unnamedRefusalIsTrueOnNewConnection() throws IOException {
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) ->
                socket.write(
                    request.contains("X-Id: one")
                        ? ForwardFixture.response("one", "own")
                        : "HTTP/1.1 503 S\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.send(ForwardFixture.request("POST", "/unsafe/", "one", ""));
      fixture.send(ForwardFixture.request("POST", "/unsafe/", "two", ""));
      for (String id : List.of("three", "four")) {
        String refused = fixture.send(ForwardFixture.request("POST", "/unsafe/", id, ""));
        assertTrue(refused.startsWith("HTTP/1.1 503"), refused);
      }
    }
  }

  // One late response caused a new connection for each request of a minute.
  @Test
  public void endpointThatNamesTheNextResponseKeepsItsConnections() throws IOException {
    String unnamed = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 7\r\n\r\nforeign";
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx,
            (socket, request) -> {
              String id = request.replaceFirst("(?s).*X-Id: (\\w+).*", "$1");
              String foreign = id.equals("r1") ? unnamed : "";
              socket.write(foreign + ForwardFixture.response(id, "own"));
            });
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      for (int number = 0; number < 10; number++) {
        String response =
            fixture.send(ForwardFixture.request("POST", "/unsafe/", "r" + number, ""));
        assertTrue(response.endsWith("own"), response);
      }
    }
    assertEquals(endpoint.connections(), 2);
  }
}
