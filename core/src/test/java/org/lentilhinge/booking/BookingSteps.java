package org.lentilhinge.booking;

import static org.testng.Assert.assertEquals;

import io.cucumber.java.ParameterType;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import org.lentilhinge.configuration.Service;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ServiceId;

/** Step definitions for the booking scenarios. */
public class BookingSteps {

  private static final long SEED = 5;
  private static final long HAND_OVER_MILLIS = 600;

  private final BookingSimulation simulation = new BookingSimulation(new Random(SEED));
  private final Map<String, String> tickets = new HashMap<>();
  private final Map<String, HostId> owners = new HashMap<>();
  private final Map<String, HostId> gateways = new HashMap<>();

  @ParameterType("amber|basalt|clay|(?:the owner|the gateway) of \\S+")
  public HostId host(String text) {
    String key = text.substring(text.lastIndexOf(' ') + 1);
    if (text.startsWith("the owner")) {
      return owners.computeIfAbsent(key, this::currentOwner);
    }
    return text.startsWith("the gateway") ? gateways.get(key) : new HostId(text);
  }

  private HostId currentOwner(String key) {
    Service service = simulation.service(new ServiceId("orders")).orElseThrow();
    BookingKey booking = new BookingKey(service.id(), new CallerId("counter"), key);
    BookingPartition partition = BookingPartition.of(service.homeZone(), booking);
    return simulation.leases().owner(partition).orElseThrow();
  }

  private String key(String name) {
    return tickets.getOrDefault(name, name);
  }

  @Given("owners with complete tables")
  public void ownersAreComplete() {
    simulation.advance(BookingSimulation.LIMITS.quarantineMillis() + 500);
  }

  @Given("the service {word}( connections)")
  public void setServiceMode(String behaviour) {
    switch (behaviour) {
      case "responds" -> simulation.setServiceMode(BookingSimulation.ServiceMode.ANSWERS);
      case "refuses" -> simulation.setServiceMode(BookingSimulation.ServiceMode.REFUSES);
      case "breaks" -> simulation.setServiceMode(BookingSimulation.ServiceMode.BREAKS);
      case "deduplicates" -> simulation.enableDeduplication();
      default -> throw new IllegalArgumentException(behaviour);
    }
  }

  @Given("the service sends no response")
  public void serviceStaysSilent() {
    simulation.setServiceMode(BookingSimulation.ServiceMode.STAYS_SILENT);
  }

  @Given("the service loses requests")
  public void serviceLosesRequests() {
    simulation.setServiceMode(BookingSimulation.ServiceMode.LOSES_REQUEST);
  }

  @Given("messages take up to {int} ms")
  public void setMessageDelay(int millis) {
    simulation.setNetwork(millis, 0, 0);
  }

  @When("{word} is booked at {host}")
  public void book(String name, HostId gateway) {
    gateways.put(name, gateway);
    simulation.book(gateway, key(name), "body");
  }

  @When("{word} is booked at {host} with another body")
  public void bookWithAnotherBody(String name, HostId gateway) {
    simulation.book(gateway, key(name), "another body");
  }

  @When("{word} is booked at a host that is not its owner")
  public void bookAtNonOwner(String name) {
    HostId owner = host("the owner of " + name);
    HostId other =
        BookingSimulation.HOSTS.stream()
            .filter(host -> !host.equals(owner) && !simulation.node(host).isCrashed())
            .findFirst()
            .orElseThrow();
    book(name, other);
  }

  @When("a ticket {word} is issued at {host}")
  public void issueTicket(String name, HostId issuer) {
    tickets.put(name, simulation.node(issuer).issueTicket());
  }

  @When("{int} ms pass")
  public void advance(int millis) {
    simulation.advance(millis);
  }

  @When("{host} crashes")
  public void crash(HostId host) {
    simulation.crash(host);
  }

  @When("{host} restarts")
  public void restart(HostId host) {
    simulation.start(host);
  }

  @When("{host} pauses")
  public void pause(HostId host) {
    simulation.pause(host);
  }

  @When("{host} resumes")
  public void resume(HostId host) {
    simulation.resume(host);
  }

  @When("{host} is disconnected")
  public void cutOff(HostId host) {
    for (HostId other : BookingSimulation.HOSTS) {
      if (!other.equals(host)) {
        simulation.cut(host, other);
        simulation.cut(other, host);
      }
    }
  }

  @When("{host} does not receive messages from {host}")
  public void cutOneWay(HostId receiver, HostId from) {
    simulation.cut(from, receiver);
  }

  @When("the connections are restored")
  public void heal() {
    simulation.healCuts();
  }

  @When("{host} starts a hand-over to {host}")
  public void leave(HostId host, HostId successor) {
    simulation.leave(host, successor);
  }

  @When("{host} is replaced and hands over to {host}")
  public void replace(HostId host, HostId successor) {
    simulation.leave(host, successor);
    simulation.advance(HAND_OVER_MILLIS);
    simulation.crash(host);
    simulation.start(host);
    simulation.advance(HAND_OVER_MILLIS);
  }

  @Then("the outcomes of {word} are {}")
  public void assertOutcomes(String name, String states) {
    String reported =
        simulation.outcomes(key(name)).stream()
            .map(outcome -> outcome.state().name().toLowerCase(Locale.ROOT).replace('_', ' '))
            .collect(Collectors.joining(", "));
    assertEquals(reported, states);
  }

  @Then("the last reason for {word} is {word}")
  public void assertLastReason(String name, String reason) {
    List<BookingOutcome> outcomes = simulation.outcomes(key(name));
    assertEquals(outcomes.get(outcomes.size() - 1).reason().name(), reason);
  }

  @Then("{word} ran {int} times")
  public void assertRuns(String name, int times) {
    assertEquals(simulation.runs(key(name)), times);
  }
}
