package org.lentilhinge.emulator.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import org.lentilhinge.runtime.host.EntryHostServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests completions, bookings and configuration changes through several entry hosts. */
public class LoopbackFleetTest {

  private final FleetClient client = new FleetClient();
  private RunningFleet running;
  private LoopbackFleet fleet;

  /** Starts the fleet and waits until its hosts are ready. */
  @BeforeClass
  public void start() throws Exception {
    running = RunningFleet.start(client);
    fleet = running.fleet();
  }

  /** Stops the fleet. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    running.stop();
  }

  @Test
  public void completesOnRoutedAdapterThroughEachHost() throws Exception {
    for (EntryHostServer host : fleet.hosts()) {
      HttpResponse<String> response = client.complete(host.gatewayPort(), "survey", 8);
      assertEquals(response.statusCode(), 200, response.body() + running.log());
      assertTrue(response.body().contains("drains-sofia@3"), response.body());
      assertTrue(response.body().contains("data: [DONE]"), response.body());
    }
    assertEquals(
        fleet.engines().stream().mapToInt(engine -> engine.statistics().unloadsInUse()).sum(), 0);
  }

  @Test
  public void booksOnceThroughTwoHosts() throws Exception {
    EntryHostServer first = fleet.hosts().get(0);
    EntryHostServer second = fleet.hosts().get(fleet.hosts().size() - 1);
    String order = "{\"street\":\"Vitosha 12\"}";
    String ticket = client.ticket(first.gatewayPort());
    HttpResponse<String> response = client.book(first.gatewayPort(), ticket, order);
    HttpResponse<String> repeated = client.book(second.gatewayPort(), ticket, order);
    assertEquals(response.statusCode(), 201, response.body() + running.log());
    assertEquals(repeated.body(), response.body());
    assertEquals(fleet.service().executions(ticket), 1);
  }

  @Test
  public void reportsUnknownForPlainKeyAfterStart() throws Exception {
    EntryHostServer host = fleet.hosts().get(0);
    HttpResponse<String> response = client.book(host.gatewayPort(), "order-2", "{}");
    assertEquals(response.statusCode(), 504, response.body());
    assertTrue(response.body().contains("\"execution\":\"unknown\""), response.body());
    assertEquals(fleet.service().executions("order-2"), 0);
  }

  @Test
  public void appliesChangedConfigurationAndRejectsFaultyOne() throws Exception {
    String previous = fleet.configuration();
    EntryHostServer host = fleet.hosts().get(0);
    fleet.publish(
        FleetConfiguration.withNextVersion(previous, 1)
            .replace("burst-main = drains-sofia", "burst-main = unknown"));
    FleetWait.until(
        "status shows the rejected version 2",
        () -> configuration(host).getLong("rejected_version", 0L) == 2);
    assertEquals(configuration(host).getLong("version"), Long.valueOf(1));
    assertEquals(client.complete(host.gatewayPort(), "survey", 2).statusCode(), 200);
    fleet.publish(
        FleetConfiguration.withNextVersion(FleetConfiguration.withNextVersion(previous, 1), 2));
    for (EntryHostServer each : fleet.hosts()) {
      FleetWait.until(
          "version 3 is applied at " + each.host(),
          () -> configuration(each).getLong("version") == 3);
    }
  }

  private JsonObject configuration(EntryHostServer host) throws Exception {
    return client.status(host.gatewayPort()).getJsonObject("configuration");
  }
}
