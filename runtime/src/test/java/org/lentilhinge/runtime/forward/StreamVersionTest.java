package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.fleet.FleetEndpoint;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests over sockets that a stream goes on only at the software version that began it. */
public class StreamVersionTest {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String FIRST = "id: 1\ndata: a\n\n";
  private static final String SECOND = "id: 2\ndata: b\n\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final long LISTING_INTERVAL_MILLIS = 1_000;

  /** More than the time in which a stream of the route can be resumed. */
  private static final long KNOWN_MILLIS = 10_000;

  private final List<FleetEndpoint> listing = new ArrayList<>();
  private Vertx vertx;
  private ForwardFixture fixture;
  private long revision;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @BeforeMethod
  public void startHost() {
    listing.clear();
    fixture = new ForwardFixture(vertx, List.of());
  }

  @AfterMethod
  public void stopHost() {
    fixture.close();
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String head(String request) {
    String id = request.replaceAll("(?s).*X-Id: (\\w+).*", "$1");
    return String.format(HEAD, id);
  }

  /** Sends the first event and breaks off, or completes a resumed stream. */
  private static void breakOff(NetSocket socket, String request) {
    if (request.contains("X-Resume: ")) {
      complete(socket, request);
    } else {
      socket.write(head(request) + chunk(FIRST)).onComplete(unused -> socket.close());
    }
  }

  private static void complete(NetSocket socket, String request) {
    String events = request.contains("X-Resume: ") ? SECOND : FIRST + SECOND;
    socket.write(head(request) + chunk(events) + LAST_CHUNK);
  }

  private ScriptedEndpoint register(String version, String zone, ScriptedEndpoint endpoint) {
    revision++;
    listing.add(
        ForwardFixture.endpoint("e" + revision, endpoint.address(), zone, revision, version));
    fixture.list(listing, revision);
    return endpoint;
  }

  private ScriptedEndpoint registerBreaking(String version, String zone) {
    return register(version, zone, new ScriptedEndpoint(vertx, StreamVersionTest::breakOff));
  }

  private ScriptedEndpoint registerSound(String version, String zone) {
    return register(version, zone, new ScriptedEndpoint(vertx, StreamVersionTest::complete));
  }

  private void readListings() {
    for (long passed = 0; passed < KNOWN_MILLIS; passed += LISTING_INTERVAL_MILLIS) {
      fixture.advance(LISTING_INTERVAL_MILLIS);
      fixture.list(listing, revision);
    }
  }

  private String send(String id, Optional<String> resumes) throws IOException {
    String request = ForwardFixture.request("POST", "/resumable/x", id, "body");
    String resumed =
        resumes
            .map(first -> "\r\nX-Resume: 1\r\nX-Resumes: " + first + "\r\nConnection")
            .orElse("\r\nConnection");
    return fixture.send(request.replace("\r\nConnection", resumed));
  }

  // Streams held events from two software versions of a back end in one answer.
  @Test
  public void brokenStreamGoesOnAtTheSameVersionOnly() throws IOException {
    registerBreaking("v1", "a");
    ScriptedEndpoint newer = registerSound("v2", "b");
    ScriptedEndpoint same = registerSound("v1", "b");
    String response = send("one", Optional.empty());
    assertEquals(newer.requests().size(), 0);
    assertEquals(same.requests().size(), 1);
    assertTrue(response.endsWith(LAST_CHUNK), response);
  }

  // Streams held events from two software versions of a back end in one answer.
  @Test
  public void brokenStreamIsBrokenOffIfItsVersionIsGone() throws IOException {
    registerBreaking("v1", "a");
    ScriptedEndpoint newer = registerSound("v2", "b");
    String response = send("one", Optional.empty());
    assertTrue(response.contains("data: a"), response);
    assertFalse(response.contains("data: b"), response);
    assertFalse(response.endsWith(LAST_CHUNK), response);
    assertEquals(newer.requests().size(), 0);
  }

  // Streams held events from two software versions of a back end over a client's tries.
  @Test
  public void resumedStreamGoesOnAtTheVersionThatBeganIt() throws IOException {
    ScriptedEndpoint older = registerBreaking("v1", "b");
    readListings();
    send("one", Optional.empty());
    ScriptedEndpoint newer = registerSound("v2", "a");
    String second = send("two", Optional.of("one"));
    assertEquals(newer.requests().size(), 0);
    assertTrue(second.endsWith(LAST_CHUNK), second);
    String third = send("three", Optional.of("one"));
    assertTrue(third.endsWith(LAST_CHUNK), third);
    assertEquals(newer.requests().size(), 0);
    assertTrue(older.requests().get(older.requests().size() - 1).contains("X-Id: three"));
  }

  // All machines had been killed: streams of the older version were joined with the newer one.
  @Test
  public void resumedStreamOfUnknownVersionIsRefused() throws IOException {
    ScriptedEndpoint newer = registerSound("v2", "a");
    String response = send("two", Optional.of("one"));
    assertTrue(response.startsWith("HTTP/1.1 503"), response);
    assertTrue(response.contains("retry-after: "), response);
    assertEquals(newer.requests().size(), 0);
  }

  // Refusals of streams whose version is certain would break off more than they save.
  @Test
  public void resumedStreamGoesOnIfItsServiceHasHadOneVersionOnly() throws IOException {
    ScriptedEndpoint only = registerSound("v1", "a");
    readListings();
    String response = send("two", Optional.of("one"));
    assertTrue(response.endsWith(LAST_CHUNK), response);
    assertEquals(only.requests().size(), 1);
  }

  // Streams held events from two versions when the servers of the old one had just left.
  @Test
  public void resumedStreamIsRefusedIfAnotherVersionHasJustLeft() throws IOException {
    registerSound("v1", "a");
    readListings();
    listing.clear();
    ScriptedEndpoint newer = registerSound("v2", "a");
    String response = send("two", Optional.of("one"));
    assertTrue(response.startsWith("HTTP/1.1 503"), response);
    readListings();
    assertTrue(send("three", Optional.of("one")).endsWith(LAST_CHUNK));
    assertEquals(newer.requests().size(), 1);
  }
}
