package org.lentilhinge.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.routing.SampleFleet;

/** Defines the steps of the placement scenarios. */
public class PlacementSteps {

  private static final long MAXIMUM_PAUSE_MILLIS = 30_000;

  private final Set<AdapterVersion> inUse = new HashSet<>();
  private final List<PlacementCommand> commands = new ArrayList<>();
  private EndpointPlacement placement;
  private long nowMillis;

  @Given("an engine with {int} adapter slots and no resident adapter")
  public void create(int slots) {
    placement =
        new EndpointPlacement(
            SampleFleet.engine("engine", "near-1", slots),
            PlacementSettings.DEFAULTS,
            new LeastPopularEviction(0),
            new WaitTimeRanking(),
            version -> !inUse.contains(version),
            new SplittableRandom(1));
  }

  @Given("an engine with {int} adapter slots and resident adapters {string} and {string}")
  public void createWithResident(int slots, String first, String second) {
    create(slots);
    placement.reconcile(
        Set.of(SampleFleet.version(first), SampleFleet.version(second)), 0, nowMillis);
  }

  @Given("{string} and {string} are in use")
  public void use(String first, String second) {
    inUse.add(SampleFleet.version(first));
    inUse.add(SampleFleet.version(second));
  }

  @When("gateway {string} waits for {string} with {int} request(s)")
  public void request(String gateway, String adapter, int requests) {
    LoadRequest request =
        new LoadRequest(
            new HostId(gateway), SampleFleet.version(adapter), Urgency.NORMAL, requests);
    commands.addAll(placement.request(request, nowMillis));
  }

  @When("the load of {string} fails")
  public void failLoad(String adapter) {
    start(adapter);
    commands.addAll(placement.onLoadFailed(SampleFleet.version(adapter), nowMillis));
  }

  @When("the load of {string} fails {int} times")
  public void failLoad(String adapter, int times) {
    for (int failure = 1; failure <= times; failure++) {
      failLoad(adapter);
      nowMillis += failure < times ? MAXIMUM_PAUSE_MILLIS / 5 : 0;
    }
  }

  @When("the load of {string} succeeds")
  public void endLoad(String adapter) {
    start(adapter);
    commands.addAll(placement.onLoaded(SampleFleet.version(adapter), nowMillis));
  }

  @When("{int} milliseconds pass")
  public void advanceTime(int millis) {
    nowMillis += millis;
  }

  @Then("the next load is {string}")
  public void checkNext(String adapter) {
    assertEquals(
        placement.demand(nowMillis + 1).orElseThrow().version(), SampleFleet.version(adapter));
  }

  @Then("no gateway is declined")
  public void checkNoDecline() {
    assertEquals(commands, List.of());
  }

  @Then("gateway {string} may use {string}")
  public void checkPermit(String gateway, String adapter) {
    PlacementCommand permit =
        new PlacementCommand.Permit(new HostId(gateway), SampleFleet.version(adapter));
    assertTrue(commands.contains(permit), "commands " + commands);
  }

  @Then("gateway {string} is declined with reason {word}")
  public void checkDecline(String gateway, String reason) {
    PlacementCommand.Decline decline = (PlacementCommand.Decline) commands.get(commands.size() - 1);
    assertEquals(decline.gateway(), new HostId(gateway));
    assertEquals(decline.reason(), DeclineReason.valueOf(reason));
  }

  private void start(String adapter) {
    LoadDemand demand = placement.demand(nowMillis).orElseThrow();
    assertEquals(demand.version(), SampleFleet.version(adapter));
    placement.startLoad(demand, nowMillis);
  }
}
