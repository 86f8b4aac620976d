package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.customer.Customer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests over sockets which keys open which routes, and what endpoints learn of them. */
public class ApiKeyTest {

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private ScriptedEndpoint endpoint() {
    return new ScriptedEndpoint(
        vertx, (socket, request) -> socket.write(ForwardFixture.response("i", "done")));
  }

  private static Customer customer(String name, String... keys) {
    return new Customer(name, List.of(keys), Optional.empty(), Allowance.UNLIMITED);
  }

  private static String request(String path, String headers) {
    return ForwardFixture.request("POST", path, "i", "").replaceFirst("\r\n", "\r\n" + headers);
  }

  private static boolean hasStatus(String response, int status) {
    return response.startsWith("HTTP/1.1 " + status + ' ');
  }

  // Endpoints received keys and no customer, so that no customer's requests could be told apart.
  @Test
  public void endpointReceivesTheCustomerAndNotTheKey() throws IOException {
    ScriptedEndpoint endpoint = endpoint();
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.declareCustomers(List.of(customer("acme", "k1")), 2);
      String response = fixture.send(request("/unsafe/x", "X-Key: k1\r\nX-Customer: forged\r\n"));
      assertTrue(hasStatus(response, 200), response);
    }
    String received = endpoint.requests().get(0);
    assertTrue(received.contains("X-Customer: acme\r\n"), received);
    assertFalse(received.contains("k1"), received);
    assertFalse(received.contains("forged"), received);
  }

  @Test
  public void requestWithUnknownOrNoKeyDoesNotRun() throws IOException {
    ScriptedEndpoint endpoint = endpoint();
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.declareCustomers(List.of(customer("acme", "k1")), 2);
      assertTrue(hasStatus(fixture.send(request("/unsafe/x", "X-Key: k2\r\n")), 401));
      assertTrue(hasStatus(fixture.send(request("/unsafe/x", "")), 401));
    }
    assertTrue(endpoint.requests().isEmpty());
  }

  @Test
  public void removedKeyEndsAndMovedKeyChangesItsCustomer() throws IOException {
    ScriptedEndpoint endpoint = endpoint();
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.declareCustomers(List.of(customer("acme", "k1", "k2"), customer("other")), 2);
      fixture.declareCustomers(List.of(customer("acme"), customer("other", "k2")), 3);
      assertTrue(hasStatus(fixture.send(request("/unsafe/x", "X-Key: k1\r\n")), 401));
      assertTrue(hasStatus(fixture.send(request("/unsafe/x", "X-Key: k2\r\n")), 200));
    }
    assertEquals(endpoint.requests().size(), 1);
    assertTrue(endpoint.requests().get(0).contains("X-Customer: other\r\n"));
  }

  @Test
  public void publicRouteNeedsNoKey() throws IOException {
    ScriptedEndpoint endpoint = endpoint();
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.declareCustomers(List.of(customer("acme", "k1")), 2);
      assertTrue(hasStatus(fixture.send(request("/public/x", "X-Key: k9\r\n")), 200));
    }
    assertFalse(endpoint.requests().get(0).contains("k9"));
  }

  // A host that knows no configuration cannot tell whether a key is valid.
  @Test
  public void requestBeforeTheFirstConfigurationIsRefusedForNow() throws IOException {
    try (ForwardFixture fixture = new ForwardFixture(vertx)) {
      fixture.advance(1_000);
      assertTrue(hasStatus(fixture.send(request("/unsafe/x", "X-Key: k1\r\n")), 503));
    }
  }

  // A host with an older configuration relays a request whose key has ended here: not a 401, as
  // the caller's own host decides on the key.
  @Test
  public void relayedRequestWithUnknownKeyIsRefusedAsRelayed() throws IOException {
    ScriptedEndpoint endpoint = endpoint();
    try (ForwardFixture fixture = new ForwardFixture(vertx, List.of(endpoint.address()))) {
      fixture.declareCustomers(List.of(customer("acme", "k1")), 2);
      String mark = new RelayProof(ForwardFixture.settings().peerSecret()).mark(1);
      String relayed = HostRelay.HEADER + ": " + mark + "\r\nX-Key: k2\r\n";
      assertTrue(hasStatus(fixture.send(request("/unsafe/x", relayed)), 503));
    }
    assertTrue(endpoint.requests().isEmpty());
  }
}
