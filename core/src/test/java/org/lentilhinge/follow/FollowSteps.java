package org.lentilhinge.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.lentilhinge.identity.HostId;

/** Steps of the scenarios. A host's name begins with its zone: sofia-a is in the zone sofia. */
public class FollowSteps {

  private final FollowNetwork network = new FollowNetwork(new RendezvousReaderSelector(2), 11);
  private List<String> parts = List.of();
  private long partsReadBefore;

  @Given("entry hosts {string}")
  public void startHosts(String names) {
    for (String name : names.split(", ")) {
      network.start(new HostId(name));
    }
  }

  @Given("version {long} is applied on all hosts")
  public void applyEverywhere(long version) {
    network.publish(FollowTexts.complete(version));
    assertTrue(network.advanceUntilAll(version, 5_000) >= 0);
  }

  @Given("version {long} with {int} parts is applied on all hosts")
  public void applyPartsEverywhere(long version, int count) {
    parts = FollowTexts.parts(count);
    parts.forEach(network::publishPart);
    network.publish(FollowTexts.manifest(version, parts));
    assertTrue(network.advanceUntilAll(version, 60_000) >= 0);
    partsReadBefore = network.partsRead;
  }

  @When("version {long} is published")
  public void publish(long version) {
    network.publish(FollowTexts.complete(version));
  }

  @When("version {long} changes one part")
  public void publishOnePart(long version) {
    parts.set(0, FollowTexts.part(0, 2));
    network.publishPart(parts.get(0));
    network.publish(FollowTexts.manifest(version, parts));
  }

  @When("a faulty version {long} is published")
  public void publishFaulty(long version) {
    network.publish(FollowTexts.faulty(version));
  }

  @When("the service answers from a replica with version {long}")
  public void serveStale(long version) {
    // Lets all readers start their next watch, so that each of them receives a new response.
    network.advance(2_000);
    network.failService();
    network.serveStale(FollowTexts.complete(version), 1);
    network.serviceDown = false;
  }

  @When("the service is down for {long} seconds")
  public void failService(long seconds) {
    network.failService();
    network.advance(seconds * 1_000);
  }

  @When("the service returns")
  public void restoreService() {
    network.serviceDown = false;
  }

  @When("host {string} starts")
  public void startHost(String name) {
    network.start(new HostId(name));
  }

  @When("zone {string} is cut off from the platform")
  public void cutFromPlatform(String zone) {
    network.zonesWithoutService.add(zone);
  }

  @When("zone {string} is cut off from the other zones")
  public void cutFromZones(String zone) {
    network.zonesCutOff.add(zone);
  }

  @When("zone {string} is connected again")
  public void reconnectZone(String zone) {
    network.zonesCutOff.remove(zone);
    network.zonesWithoutService.remove(zone);
  }

  @When("parts arrive damaged")
  public void damageParts() {
    network.corruptingParts = true;
  }

  @When("{long} seconds pass")
  public void advance(long seconds) {
    network.advance(seconds * 1_000);
  }

  @Then("version {long} is applied on all hosts within {long} seconds")
  public void checkAll(long version, long seconds) {
    assertTrue(network.advanceUntilAll(version, seconds * 1_000) >= 0);
  }

  @Then("host {string} has applied version {long}")
  public void checkHost(String name, long version) {
    assertEquals(network.versionOf(new HostId(name)), version);
  }

  @Then("no host has returned to a lower version")
  public void checkMonotonic() {
    for (List<FollowCommand> commands : network.commandsByHost.values()) {
      long lastVersion = 0;
      for (FollowCommand command : commands) {
        if (command instanceof FollowCommand.Apply apply) {
          assertTrue(apply.version().version().number() > lastVersion, apply.version().toString());
          lastVersion = apply.version().version().number();
        }
      }
    }
  }

  @Then("each reader reports that version {long} is rejected")
  public void checkRejection(long version) {
    for (ConfigurationFollower follower : network.followers.values()) {
      FollowStatus status = follower.status();
      if (status.reader()) {
        assertEquals(status.rejectedVersion().orElseThrow().version().number(), version);
        assertTrue(status.rejectionFindings().hasErrors());
      }
    }
  }

  @Then("at most {long} parts were read from the service")
  public void checkReads(long maximum) {
    assertTrue(network.partsRead - partsReadBefore <= maximum, "parts read: " + network.partsRead);
  }

  @Then("damaged parts are counted")
  public void checkDamage() {
    assertTrue(
        network.followers.values().stream()
            .anyMatch(follower -> follower.status().damagedParts() > 0));
  }
}
