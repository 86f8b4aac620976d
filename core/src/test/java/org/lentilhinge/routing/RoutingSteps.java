package org.lentilhinge.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import java.util.Set;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.identity.EndpointId;

/** Defines the steps of the routing scenarios. */
public class RoutingSteps {

  private static final long NOW_MILLIS = 1_000;
  private static final long SUSPECT_UNTIL_MILLIS = 1_000_000;

  private final Configuration configuration =
      SampleFleet.configuration(SampleFleet.STALL_WEIGHTED_POLICY, List.of());
  private final SampleFleet sample = new SampleFleet();
  private final FleetView fleet = new FleetView(SampleFleet.NEAR_ZONE, configuration);
  private final AffinityRouting routing = new AffinityRouting(configuration, SampleFleet.LINK);
  private EndpointId holder;

  @Given("engine {string} holds {string} and has {int} requests")
  public void announceHolder(String engine, String adapter, int requests) {
    holder = new EndpointId(engine);
    fleet.applyAnnouncement(
        sample.announcement(engine, Set.of(SampleFleet.version(adapter)), Set.of(), requests), 0);
  }

  @When("engine {string} is leaving")
  public void markLeaving(String engine) {
    fleet.markLeaving(new EndpointId(engine), true);
  }

  @When("zone {string} is lost")
  public void markZoneLost(String zone) {
    for (EngineView view : fleet.engines()) {
      if (view.engine().zone().value().equals(zone)) {
        fleet.markSuspect(view.engine().id(), SUSPECT_UNTIL_MILLIS);
      }
    }
  }

  @Given("loads wait {int} seconds for the store on every engine")
  public void announceLoadWait(int seconds) {
    for (EngineView view : fleet.engines()) {
      fleet.applyAnnouncement(
          sample.announcement(
              view.engine().id().value(), Set.of(), Set.of(), 0, seconds * 1_000L, false),
          0);
    }
  }

  @Then("a request for {string} is routed to {string}")
  public void checkEndpoint(String adapter, String engine) {
    assertEquals(endpoint(route(adapter)).value(), engine);
  }

  @Then("a request for {string} is not routed to {string}")
  public void checkOtherEndpoint(String adapter, String engine) {
    assertNotEquals(endpoint(route(adapter)).value(), engine);
  }

  @Then("a request for {string} is routed to another engine with reason {word}")
  public void checkReason(String adapter, String reason) {
    assertNotEquals(endpoint(route(adapter)), holder);
    assertEquals(route(adapter).reason(), RoutingReason.valueOf(reason));
  }

  @Then("a request for {string} is refused at once and may be retried after {int} seconds")
  public void checkRefusal(String adapter, int seconds) {
    assertEquals(
        route(adapter), new RoutingDecision.Refuse(seconds * 1_000L, RoutingReason.STORE_BUSY));
  }

  private RoutingDecision route(String adapter) {
    return routing.route(SampleFleet.request(adapter), fleet, NOW_MILLIS);
  }

  private static EndpointId endpoint(RoutingDecision decision) {
    if (decision instanceof RoutingDecision.UseResident use) {
      return use.endpoint();
    }
    return ((RoutingDecision.RequestLoad) decision).endpoint();
  }
}
