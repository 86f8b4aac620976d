package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.lentilhinge.allowance.AllowanceReport;
import org.lentilhinge.allowance.AllowanceUse;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.customer.Customer;
import org.lentilhinge.customer.DeclaredCustomers;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.overlay.HostHeartbeat;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.permit.EngineStatus;
import org.lentilhinge.permit.EngineStatuses;
import org.lentilhinge.permit.OwnerStatuses;
import org.lentilhinge.permit.StatusRelay;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests the quotas of customers over sockets, and the reports of their use. */
public class CustomerQuotaTest {

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private ScriptedEndpoint endpoint(String response) {
    return new ScriptedEndpoint(vertx, (socket, request) -> socket.write(response));
  }

  private ScriptedEndpoint endpoint() {
    return endpoint(ForwardFixture.response("i", "done"));
  }

  private static Customer customer(Allowance allowance) {
    return new Customer("acme", List.of("k1"), Optional.empty(), allowance);
  }

  /** A customer that may send a number of requests, and one more after 100 s. */
  private static Customer customer(double burst) {
    return customer(new Allowance(0.01, burst, false, 0));
  }

  private static String request(String path, String headers) {
    return ForwardFixture.request("POST", path, "i", "")
        .replaceFirst("\r\n", "\r\nX-Key: k1\r\n" + headers);
  }

  private static int status(String response) {
    return Integer.parseInt(response.split(" ")[1]);
  }

  private static double retryAfterSeconds(String response) {
    String line =
        response
            .lines()
            .filter(header -> header.toLowerCase().startsWith("retry-after:"))
            .findFirst()
            .orElseThrow();
    return Double.parseDouble(line.substring(line.indexOf(':') + 1).trim());
  }

  // A customer above its quota took the engines from all others.
  @Test
  public void requestAboveTheQuotaIsRefusedWithTheTimeToReturn() throws IOException {
    ScriptedEndpoint endpoint = endpoint();
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.declareCustomers(List.of(customer(new Allowance(1_000, 1_500, true, 900))), 2);
      assertEquals(status(fixture.send(request("/unsafe/x", ""))), 200);
      String first = fixture.send(request("/unsafe/x", "X-Tokens: 1200\r\n"));
      String second = fixture.send(request("/unsafe/x", "X-Tokens: 1200\r\n"));
      assertEquals(status(first), 429, first);
      assertTrue(first.contains("over-allowance"), first);
      assertTrue(retryAfterSeconds(first) > 0 && retryAfterSeconds(first) <= 0.6, first);
      assertTrue(retryAfterSeconds(second) > 0.6, second);
      fixture.advance(2_000);
      assertEquals(status(fixture.send(request("/unsafe/x", "X-Tokens: 1200\r\n"))), 200);
    }
    assertEquals(endpoint.requests().size(), 2);
  }

  // Callers whose requests the endpoints refuse would have used up their quota with nothing run.
  @Test
  public void requestThatHasNotRunIsRefunded() throws IOException {
    ScriptedEndpoint endpoint =
        endpoint("HTTP/1.1 503 Busy\r\nX-Id: i\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.declareCustomers(List.of(customer(1)), 2);
      assertEquals(status(fixture.send(request("/unsafe/x", ""))), 503);
      assertEquals(status(fixture.send(request("/unsafe/x", ""))), 503);
    }
  }

  // A caller that hangs up after its request was sent would have been served for nothing.
  @Test
  public void requestWhoseCallerHangsUpIsNotRefunded() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(vertx, (socket, request) -> received.countDown());
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.declareCustomers(List.of(customer(1)), 2);
      try (Socket caller = fixture.open()) {
        byte[] bytes = request("/unsafe/x", "").getBytes(StandardCharsets.ISO_8859_1);
        caller.getOutputStream().write(bytes);
        assertTrue(received.await(10, TimeUnit.SECONDS));
      }
      assertTrue(endpoint.awaitClosed());
      assertEquals(status(fixture.send(request("/unsafe/x", ""))), 429);
    }
  }

  // The host that received the request from the caller has charged it already.
  @Test
  public void relayedRequestIsNotCharged() throws IOException {
    ScriptedEndpoint endpoint = endpoint();
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.declareCustomers(List.of(customer(1)), 2);
      String mark = new RelayProof(ForwardFixture.settings().peerSecret()).mark(1);
      String relayed = HostRelay.HEADER + ": " + mark + "\r\n";
      assertEquals(status(fixture.send(request("/unsafe/x", relayed))), 200);
      assertEquals(status(fixture.send(request("/unsafe/x", ""))), 200);
      assertEquals(status(fixture.send(request("/unsafe/x", ""))), 429);
      assertEquals(status(fixture.send(request("/unsafe/x", relayed))), 200);
    }
  }

  // A caller that marked its requests as relayed was not charged.
  @Test
  public void requestThatNoHostHasRelayedIsCharged() throws IOException {
    ScriptedEndpoint endpoint = endpoint();
    String mark = new RelayProof("guess").mark(1);
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.declareCustomers(List.of(customer(1)), 2);
      assertEquals(status(fixture.send(request("/unsafe/x", ""))), 200);
      for (String forged : List.of("0", "1", "", mark)) {
        String header = HostRelay.HEADER + ": " + forged + "\r\n";
        assertEquals(status(fixture.send(request("/unsafe/x", header))), 429, forged);
      }
    }
  }

  @Test
  public void configurationWithoutCustomersHasNoQuota() throws IOException {
    ScriptedEndpoint endpoint = endpoint();
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      for (int index = 0; index < 10; index++) {
        String request = request("/unsafe/x", "X-Tokens: 1000000\r\n");
        assertEquals(status(fixture.send(request)), 200);
      }
    }
  }

  /** A host with one other host in its zone, and the messages that it sends to it. */
  private final class ReportingHost {
    private final AtomicLong clock = new AtomicLong();
    private final List<PeerMessage> sent = new ArrayList<>();
    private final HostState state;
    private final StatusExchange statuses;

    ReportingHost() {
      ForwardSettings settings = ForwardFixture.settings();
      EventLog log = new EventLog(new PrintStream(OutputStream.nullOutputStream()), () -> 0);
      HostContext context = new HostContext(vertx, settings, clock::get, log, new MetricRegistry());
      state = new HostState(context, ForwardFixture.overlay(settings));
      HostRecord other = new HostRecord("10.0.0.2", "a", "north", 1, 1, false);
      state.hosts().onMessage(other.host(), new HostHeartbeat(other, 0, true), 0);
      StatusRelay relay = new StatusRelay(state.hosts().self());
      statuses = new StatusExchange(context, state, relay, (host, message) -> sent.add(message));
    }

    void declare(Allowance allowance) {
      state.quotas().apply(new DeclaredCustomers(true, List.of(customer(allowance))));
    }

    /** Runs the publication of statuses for some seconds. */
    void runSeconds(int seconds) {
      for (int round = 0; round < seconds * 5; round++) {
        clock.addAndGet(200);
        statuses.publishAll(List.of(), List.of());
        statuses.flush();
      }
    }
  }

  // Reports cost bandwidth between regions, which a deployment without quotas would not use.
  @Test
  public void hostWithoutLimitsSendsNoReports() {
    ReportingHost host = new ReportingHost();
    host.runSeconds(3);
    host.declare(Allowance.UNLIMITED);
    host.state.quotas().accounts().admit("acme", 5, host.clock.get());
    host.runSeconds(3);
    assertTrue(host.sent.isEmpty(), host.sent.toString());
    EngineStatus status = new EngineStatus("e/1", true, List.of(), 0, 1, 0);
    host.statuses.publishAll(List.of(status), List.of());
    OwnerStatuses expected = new OwnerStatuses("10.0.0.1", List.of(status), List.of());
    for (PeerMessage message : host.sent) {
      assertEquals(((EngineStatuses) message).owners(), List.of(expected));
    }
    assertFalse(host.sent.isEmpty());
  }

  @Test
  public void hostWithLimitsReportsUseAndThatItIsHeard() {
    ReportingHost host = new ReportingHost();
    host.declare(new Allowance(10, 100, false, 0));
    host.clock.addAndGet(60_000);
    host.state.quotas().accounts().admit("acme", 5, host.clock.get());
    host.runSeconds(4);
    List<AllowanceReport> reports =
        host.sent.stream()
            .map(message -> ((EngineStatuses) message).owners().get(0).use().orElseThrow())
            .toList();
    assertEquals(reports.get(0).uses(), List.of(new AllowanceUse("acme", 5, 0, 5, 5)));
    // To two relays of the zone at most, at least every 400 ms.
    assertTrue(reports.size() >= 10, "reports: " + reports.size());
  }
}
