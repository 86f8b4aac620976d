package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.fleet.FleetEndpoint;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests over sockets that a request which crashes endpoints again and again is refused. */
public class FatalRequestTest {

  private static final int ENDPOINTS = 3;
  private static final int SENT = 10;
  private static final long LISTING_INTERVAL_MILLIS = 1_000;

  /** The time after which the store would no longer list an endpoint that has crashed. */
  private static final long LISTED_WITHOUT_CRASH_MILLIS = 7_000;

  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nX-Id: i\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n";
  private static final String EVENTS = "id: 1\ndata: x\n\n";

  /** The endpoints in service. An endpoint that has crashed is replaced by one with another id. */
  private final List<ScriptedEndpoint> running = new ArrayList<>();

  private final List<FleetEndpoint> listing = new ArrayList<>();
  private Vertx vertx;
  private ForwardFixture fixture;
  private long started;
  private int fatalReceived;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @BeforeMethod
  public void startEndpoints() {
    running.clear();
    listing.clear();
    fatalReceived = 0;
    fixture = new ForwardFixture(vertx, List.of());
    for (int index = 0; index < ENDPOINTS; index++) {
      startEndpoint(index);
    }
    fixture.list(listing, started);
  }

  @AfterMethod
  public void stopEndpoints() {
    running.forEach(ScriptedEndpoint::crash);
    fixture.close();
  }

  private void startEndpoint(int index) {
    started++;
    ScriptedEndpoint endpoint = new ScriptedEndpoint(vertx, this::respond);
    FleetEndpoint registered =
        ForwardFixture.endpoint("e" + started, endpoint.address(), "a", started);
    if (index < running.size()) {
      running.set(index, endpoint);
      listing.set(index, registered);
    } else {
      running.add(endpoint);
      listing.add(registered);
    }
  }

  private void respond(NetSocket socket, String request) {
    if (request.contains("fatal")) {
      fatalReceived++;
      boolean stream = request.contains("/stream/") || request.contains("/resumable/");
      String beginning = stream ? STREAM_HEAD + "Transfer-Encoding: chunked\r\n\r\n" : "H";
      socket.write(beginning).onComplete(unused -> endpointOf(socket).crash());
    } else if (request.contains("cut")) {
      socket.close();
    } else {
      socket.write(STREAM_HEAD + "Content-Length: " + EVENTS.length() + "\r\n\r\n" + EVENTS);
    }
  }

  private ScriptedEndpoint endpointOf(NetSocket socket) {
    int port = socket.localAddress().port();
    return running.stream()
        .filter(endpoint -> endpoint.address().endsWith(":" + port))
        .findFirst()
        .orElseThrow();
  }

  /** Replaces the endpoints that have crashed, some time later. */
  private void restartEndpoints() {
    for (int index = 0; index < running.size(); index++) {
      if (running.get(index).isCrashed()) {
        startEndpoint(index);
      }
    }
    fixture.advance(3_000);
    fixture.list(listing, started);
  }

  private String send(String path, String body) throws IOException {
    return fixture.send(ForwardFixture.request("POST", path, "i", body));
  }

  @DataProvider
  public static Object[][] paths() {
    return new Object[][] {{"/safe/x"}, {"/unsafe/x"}, {"/stream/x"}, {"/resumable/x"}};
  }

  // A request that crashes each back end came again under other ids and was sent on each time.
  @Test(dataProvider = "paths")
  public void requestIsRefusedOnceThreeEndpointsHaveCrashed(String path) throws IOException {
    String response = "";
    for (int count = 0; count < SENT; count++) {
      assertTrue(send(path, "sound" + count).startsWith("HTTP/1.1 200"));
      response = send(path, "fatal");
      assertFalse(response.startsWith("HTTP/1.1 200"), response);
      restartEndpoints();
    }
    assertEquals(fatalReceived, 3);
    assertTrue(response.startsWith("HTTP/1.1 503"), response);
    assertTrue(response.contains("retry-after: "), response);
    assertTrue(send(path, "sound").startsWith("HTTP/1.1 200"));
    assertTrue(send(path + "y", "x").startsWith("HTTP/1.1 200"));
  }

  private void readListings(long millis) {
    for (long passed = 0; passed < millis; passed += LISTING_INTERVAL_MILLIS) {
      fixture.advance(LISTING_INTERVAL_MILLIS);
      fixture.list(listing, started);
    }
  }

  // A cut connection to an endpoint that goes on is not a crash.
  @Test
  public void requestWhoseConnectionsAreCutIsNotRefused() throws IOException {
    for (int count = 0; count < SENT; count++) {
      String response = send("/unsafe/x", "cut");
      assertTrue(response.startsWith("HTTP/1.1 502"), response);
      readListings(LISTED_WITHOUT_CRASH_MILLIS);
    }
  }

  // Requests that were refused because of cut connections must not stay refused for long.
  @Test
  public void refusalEndsWhenTheStoreStillListsTheEndpoints() throws IOException {
    readListings(LISTED_WITHOUT_CRASH_MILLIS);
    for (int count = 0; count < 3; count++) {
      assertTrue(send("/unsafe/x", "cut").startsWith("HTTP/1.1 502"));
      fixture.advance(300);
    }
    assertTrue(send("/unsafe/x", "cut").startsWith("HTTP/1.1 503"));
    readListings(LISTED_WITHOUT_CRASH_MILLIS);
    assertTrue(send("/unsafe/x", "cut").startsWith("HTTP/1.1 502"));
  }
}
