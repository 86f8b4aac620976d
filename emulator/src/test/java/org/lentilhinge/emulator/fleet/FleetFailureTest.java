package org.lentilhinge.emulator.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.emulator.service.ServiceFault;
import org.lentilhinge.runtime.host.EntryHostServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the responses to callers over real sockets when hosts, services and connections fail. */
public class FleetFailureTest {

  private static final int STREAMS = 6;
  private static final int LONG_RESPONSE_TOKENS = 150;
  private static final long RESPONSE_TIMEOUT_SECONDS = 60;

  private final FleetClient client = new FleetClient();
  private RunningFleet running;
  private LoopbackFleet fleet;

  /** Starts the fleet and waits until its hosts are ready. */
  @BeforeMethod
  public void start() throws Exception {
    running = RunningFleet.start(client);
    fleet = running.fleet();
  }

  /** Stops the fleet. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    running.stop();
  }

  @Test
  public void completesLongResponsesWithoutFailures() throws Exception {
    EntryHostServer gateway = fleet.hosts().get(0);
    assertComplete(startStreams(gateway));
  }

  @Test
  public void completesResponsesAfterOwnerIsKilled() throws Exception {
    EntryHostServer gateway = fleet.hosts().get(fleet.hosts().size() - 1);
    client.complete(gateway.gatewayPort(), "survey", 1);
    List<CompletableFuture<HttpResponse<String>>> responses = startStreams(gateway);
    for (EntryHostServer owner : owners()) {
      if (owner != gateway) {
        fleet.kill(owner.host());
      }
    }
    assertComplete(responses);
    assertEquals(
        fleet.engines().stream().mapToInt(engine -> engine.statistics().unloadsInUse()).sum(), 0);
    HttpResponse<String> next = client.complete(gateway.gatewayPort(), "survey", 4);
    assertEquals(next.statusCode(), 200, next.body() + running.log());
  }

  @Test
  public void completesResponsesBeforePlannedStop() throws Exception {
    EntryHostServer gateway = fleet.hosts().get(0);
    client.complete(gateway.gatewayPort(), "survey", 1);
    List<CompletableFuture<HttpResponse<String>>> responses = startStreams(gateway);
    fleet.stop(gateway.host()).blockingAwait();
    assertComplete(responses);
    EntryHostServer other = fleet.hosts().get(0);
    HttpResponse<String> next = client.complete(other.gatewayPort(), "survey", 4);
    assertEquals(next.statusCode(), 200, next.body() + running.log());
  }

  @Test
  public void reportsUnknownForBookingOnSilentConnection() throws Exception {
    EntryHostServer first = fleet.hosts().get(0);
    EntryHostServer second = fleet.hosts().get(1);
    String ticket = client.ticket(first.gatewayPort());
    fleet.service().planFault(ServiceFault.SILENT);
    HttpResponse<String> original = client.book(first.gatewayPort(), ticket, "{}");
    HttpResponse<String> repeated = client.book(second.gatewayPort(), ticket, "{}");
    for (HttpResponse<String> response : List.of(original, repeated)) {
      assertEquals(
          new JsonObject(response.body()).getString("execution"), "unknown", response.body());
    }
    assertEquals(fleet.service().executions(ticket), 1);
  }

  private List<CompletableFuture<HttpResponse<String>>> startStreams(EntryHostServer gateway)
      throws Exception {
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    int before = attempts();
    for (int stream = 0; stream < STREAMS; stream++) {
      responses.add(client.completeAsync(gateway.gatewayPort(), "survey", LONG_RESPONSE_TOKENS));
    }
    FleetWait.until("all streams are running", () -> attempts() >= before + STREAMS);
    return responses;
  }

  private int attempts() {
    return fleet.engines().stream()
        .mapToInt(engine -> engine.statistics().acceptedAttempts().size())
        .sum();
  }

  private void assertComplete(List<CompletableFuture<HttpResponse<String>>> responses)
      throws Exception {
    for (CompletableFuture<HttpResponse<String>> pending : responses) {
      HttpResponse<String> response = pending.get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertEquals(response.statusCode(), 200, response.body());
      assertTrue(response.body().contains("data: [DONE]"), response.body());
      assertEquals(
          response.body().split("\"content\":", -1).length - 1 >= LONG_RESPONSE_TOKENS,
          true,
          response.body());
    }
  }

  private List<EntryHostServer> owners() throws Exception {
    List<EntryHostServer> owners = new ArrayList<>();
    for (EntryHostServer host : fleet.hosts()) {
      JsonObject status = client.status(host.gatewayPort());
      boolean owns =
          status.getJsonArray("engines").stream()
              .map(JsonObject.class::cast)
              .anyMatch(engine -> engine.getBoolean("owned"));
      if (owns) {
        owners.add(host);
      }
    }
    return owners;
  }
}
