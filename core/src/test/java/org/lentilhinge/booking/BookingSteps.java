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

  private final BookingWorld world = new BookingWorld(new Random(SEED));
  private final Map<String, String> tickets = new HashMap<>();
  private final Map<String, HostId> homes = new HashMap<>();
  private final Map<String, HostId> gateways = new HashMap<>();

  @ParameterType("amber|basalt|clay|(?:the owner|the gateway) of \\S+")
  public HostId host(String text) {
    String key = text.substring(text.lastIndexOf(' ') + 1);
    if (text.startsWith("the owner")) {
      return homes.computeIfAbsent(key, this::currentHome);
    }
    return text.startsWith("the gateway") ? gateways.get(key) : new HostId(text);
  }

  private HostId currentHome(String key) {
    Service service = world.service(new ServiceId("orders")).orElseThrow();
    BookingKey booking = new BookingKey(service.id(), new CallerId("counter"), key);
    BookingPartition partition = BookingPartition.of(service.homeZone(), booking);
    return world.lease().holder(partition).orElseThrow();
  }

  private String key(String name) {
    return tickets.getOrDefault(name, name);
  }

  @Given("owners with complete tables")
  public void homesKnow() {
    world.advance(BookingWorld.LIMITS.quarantineMillis() + 500);
  }

  @Given("the service {word}( connections)")
  public void serviceActs(String behaviour) {
    switch (behaviour) {
      case "responds" -> world.serviceIs(BookingWorld.ServiceMode.ANSWERS);
      case "refuses" -> world.serviceIs(BookingWorld.ServiceMode.REFUSES);
      case "breaks" -> world.serviceIs(BookingWorld.ServiceMode.BREAKS);
      case "deduplicates" -> world.deduplicates();
      default -> throw new IllegalArgumentException(behaviour);
    }
  }

  @Given("the service sends no response")
  public void serviceStaysSilent() {
    world.serviceIs(BookingWorld.ServiceMode.STAYS_SILENT);
  }

  @Given("the service loses requests")
  public void serviceLosesRequests() {
    world.serviceIs(BookingWorld.ServiceMode.LOSES_REQUEST);
  }

  @Given("messages take up to {int} ms")
  public void messagesTake(int millis) {
    world.networkIs(millis, 0, 0);
  }

  @When("{word} is booked at {host}")
  public void book(String name, HostId gateway) {
    gateways.put(name, gateway);
    world.book(gateway, key(name), "body");
  }

  @When("{word} is booked at {host} with another body")
  public void bookOtherwise(String name, HostId gateway) {
    world.book(gateway, key(name), "another body");
  }

  @When("{word} is booked at a host that is not its owner")
  public void bookElsewhere(String name) {
    HostId owner = host("the owner of " + name);
    HostId other =
        BookingWorld.HOSTS.stream()
            .filter(host -> !host.equals(owner) && !world.node(host).isDead())
            .findFirst()
            .orElseThrow();
    book(name, other);
  }

  @When("a ticket {word} is issued at {host}")
  public void takeTicket(String name, HostId issuer) {
    tickets.put(name, world.node(issuer).ticket());
  }

  @When("{int} ms pass")
  public void pass(int millis) {
    world.advance(millis);
  }

  @When("{host} crashes")
  public void crash(HostId host) {
    world.crash(host);
  }

  @When("{host} restarts")
  public void restart(HostId host) {
    world.boot(host);
  }

  @When("{host} pauses")
  public void pause(HostId host) {
    world.pause(host);
  }

  @When("{host} resumes")
  public void wake(HostId host) {
    world.wake(host);
  }

  @When("{host} is disconnected")
  public void cutOff(HostId host) {
    for (HostId other : BookingWorld.HOSTS) {
      if (!other.equals(host)) {
        world.cut(host, other);
        world.cut(other, host);
      }
    }
  }

  @When("{host} does not receive messages of {host}")
  public void cutOneWay(HostId receiver, HostId from) {
    world.cut(from, receiver);
  }

  @When("the connections are restored")
  public void heal() {
    world.healCuts();
  }

  @When("{host} starts a hand-over to {host}")
  public void leave(HostId host, HostId successor) {
    world.leave(host, successor);
  }

  @When("{host} is replaced and hands over to {host}")
  public void replace(HostId host, HostId successor) {
    world.leave(host, successor);
    world.advance(HAND_OVER_MILLIS);
    world.crash(host);
    world.boot(host);
    world.advance(HAND_OVER_MILLIS);
  }

  @Then("the outcomes of {word} are {}")
  public void told(String name, String states) {
    String reported =
        world.outcomes(key(name)).stream()
            .map(outcome -> outcome.state().name().toLowerCase(Locale.ROOT).replace('_', ' '))
            .collect(Collectors.joining(", "));
    assertEquals(reported, states);
  }

  @Then("the last reason for {word} is {word}")
  public void lastReason(String name, String reason) {
    List<BookingOutcome> outcomes = world.outcomes(key(name));
    assertEquals(outcomes.get(outcomes.size() - 1).reason().name(), reason);
  }

  @Then("{word} ran {int} times")
  public void ran(String name, int times) {
    assertEquals(world.runs(key(name)), times);
  }
}
