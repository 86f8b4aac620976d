package org.lentilhinge.grant;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.cucumber.java.en.And;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.configuration.FencingTrait;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingNumber;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;

/** Steps of the ownership scenarios, run in the simulated network. */
public class OwnershipSteps {

  private static final long SECOND_MILLIS = 1_000;
  private static final long START_MILLIS = 30_000;

  private final VirtualNetwork network = new VirtualNetwork(1);
  private final List<HostId> listed = new ArrayList<>();
  private HostIncarnation former;
  private VirtualHost gateway;
  private int names;

  @Given("a zone of {int} hosts")
  public void zone(int count) {
    network.engine("checked", FencingTrait.CHECKED);
    network.engine("ignoring", FencingTrait.IGNORED);
    for (int index = 0; index < count; index++) {
      add();
    }
    network.list(listed);
    pass(START_MILLIS);
  }

  @Given("{string} is resident on {string}")
  public void resident(String adapter, String endpoint) {
    owner(endpoint).order(id(endpoint), true, version(adapter));
    pass(3 * SECOND_MILLIS);
    assertTrue(engine(endpoint).resident.contains(version(adapter)));
  }

  @Given("a stream of {int} second(s) runs on {string} on {string} from another host")
  public void stream(int seconds, String adapter, String endpoint) {
    former = owner(endpoint).self;
    gateway =
        network.hosts.values().stream()
            .filter(host -> !host.self.equals(former))
            .findFirst()
            .orElseThrow();
    network.requestMillis = OptionalLong.of(seconds * SECOND_MILLIS);
    gateway.request(id(endpoint), version(adapter));
    pass(500);
    assertTrue(engine(endpoint).running.contains(version(adapter)));
  }

  @When("the owner of {string} decides to load {string} and is paused for {int} seconds")
  public void pausedWithOrder(String endpoint, String adapter, int seconds) {
    VirtualHost owner = decide(endpoint, adapter);
    owner.pausedUntilMillis = network.nowMillis() + seconds * SECOND_MILLIS;
    pass((seconds + 1) * SECOND_MILLIS);
  }

  @When("the owner of {string} decides to load {string} and is suspended for {int} seconds")
  public void suspendedWithOrder(String endpoint, String adapter, int seconds) {
    VirtualHost owner = decide(endpoint, adapter);
    owner.suspend(seconds * SECOND_MILLIS);
    pass((seconds + 1) * SECOND_MILLIS);
  }

  @When("the owner of {string} decides to load {string}")
  public VirtualHost decide(String endpoint, String adapter) {
    VirtualHost owner = owner(endpoint);
    former = owner.self;
    owner.order(id(endpoint), true, version(adapter));
    return owner;
  }

  @When("the owner of {string} fails")
  public void ownerDies(String endpoint) {
    VirtualHost owner = owner(endpoint);
    former = owner.self;
    network.kill(owner);
  }

  @When("{int} hosts fail")
  public void hostsDie(int count) {
    List.copyOf(network.hosts.values()).stream().limit(count).forEach(network::kill);
  }

  @When("the host of the stream fails")
  public void gatewayDies() {
    network.kill(gateway);
  }

  @When("the host of the stream and the owner of {string} fail and restart")
  public void bothRestart(String endpoint) {
    HostId owner = owner(endpoint).self.host();
    network.list(network.start(owner.value()), listed);
    network.list(network.start(gateway.self.host().value()), listed);
  }

  @When("the host of the stream and the owner of {string} are partitioned from each other")
  public void cutOff(String endpoint) {
    HostId owner = owner(endpoint).self.host();
    network.cuts.add(List.of(owner, gateway.self.host()));
    network.cuts.add(List.of(gateway.self.host(), owner));
  }

  @When("messages {word} the owner of {string} are dropped")
  public void cut(String direction, String endpoint) {
    HostId owner = owner(endpoint).self.host();
    for (HostId host : network.hosts.keySet()) {
      boolean from = direction.equals("from");
      network.cuts.add(from ? List.of(owner, host) : List.of(host, owner));
    }
    network.cuts.remove(List.of(owner, owner));
  }

  @When("the partition ends")
  public void heal() {
    network.cuts.clear();
  }

  @When("the failed hosts are removed from the list")
  public void dropDead() {
    listed.retainAll(network.hosts.keySet());
    network.list(listed);
  }

  @When("all hosts are replaced one after another, every {int} seconds")
  public void replaceAll(int seconds) {
    for (HostId host : List.copyOf(listed)) {
      add();
      network.list(listed);
      VirtualHost replaced = network.hosts.get(host);
      replaced.leave();
      pass(5 * SECOND_MILLIS);
      network.kill(replaced);
      listed.remove(host);
      network.list(listed);
      pass(seconds * SECOND_MILLIS);
    }
  }

  @When("{int} new hosts receive a list without {int} old hosts, which keep running")
  public void newListForNewHosts(int count, int oldCount) {
    List<HostId> received = new ArrayList<>(listed.subList(oldCount, listed.size()));
    for (int index = 0; index < count; index++) {
      HostId name = new HostId("host-" + names++);
      received.add(name);
      network.start(name.value());
    }
    received.stream()
        .filter(host -> !listed.contains(host))
        .forEach(host -> network.list(network.hosts.get(host), received));
  }

  @When("the owner of {string} leaves")
  public void ownerLeaves(String endpoint) {
    VirtualHost owner = owner(endpoint);
    former = owner.self;
    owner.leave();
  }

  @When("an unknown host sends {string} an order with a higher fencing token")
  public void foreignOrder(String endpoint) {
    FencingNumber token = new FencingNumber(1_000, new HostId("stranger"));
    engine(endpoint).order(true, version("stranger"), token);
  }

  @When("one host detects that {string} is leaving")
  public void endpointLeaves(String endpoint) {
    VirtualHost host = network.hosts.values().iterator().next();
    host.endpointLeaves(id(endpoint));
  }

  @When("{int} second(s) pass(es)")
  public void seconds(int seconds) {
    for (int second = 0; second < seconds; second++) {
      pass(SECOND_MILLIS);
      network.list(listed);
    }
  }

  @When("{int} seconds pass without a list")
  public void secondsWithoutList(int seconds) {
    pass(seconds * SECOND_MILLIS);
  }

  @Then("the order for {string} is dropped")
  public void dropped(String adapter) {
    assertEquals(network.droppedOrders, 1);
    for (VirtualEngine engine : network.engines.values()) {
      assertFalse(engine.resident.contains(version(adapter)));
    }
  }

  @Then("another host may send orders to {string}")
  public void otherOwner(String endpoint) {
    assertFalse(owner(endpoint).self.equals(former), "owner is still " + former);
  }

  @Then("{string} has an owner")
  public void hasOwner(String endpoint) {
    owner(endpoint);
  }

  @Then("{string} has no owner")
  public void hasNoOwner(String endpoint) {
    assertEquals(network.orderers(id(endpoint)), List.of());
  }

  @Then("no host may send orders to {string} for {int} seconds")
  public void noneFor(String endpoint, int seconds) {
    for (long millis = 0; millis < seconds * SECOND_MILLIS; millis += 100) {
      hasNoOwner(endpoint);
      pass(100);
    }
    pass(2 * SECOND_MILLIS);
  }

  @Then("the owner of {string} has released the endpoint after {int} refusal(s)")
  public void steppedDown(String endpoint, int refusals) {
    assertEquals(engine(endpoint).refusals, refusals);
    assertFalse(network.orderers(id(endpoint)).contains(former));
  }

  @Then("a request for {string} on {string} is served")
  public void served(String adapter, String endpoint) {
    assertTrue(serve(adapter, endpoint), adapter + " was not served");
  }

  @Then("a request for {string} on {string} is refused")
  public void refused(String adapter, String endpoint) {
    assertFalse(serve(adapter, endpoint), adapter + " was served");
  }

  @Then("the owner of {string} may not evict {string} while the stream runs")
  public void pinned(String endpoint, String adapter) {
    int checks = 0;
    while (engine(endpoint).running.contains(version(adapter))) {
      assertFalse(owner(endpoint).mayEvict(id(endpoint), version(adapter)));
      pass(100);
      checks++;
    }
    assertTrue(checks > 0, "no stream ran");
  }

  @Then("no host may evict {string} on {string} while the stream runs")
  public void pinnedByAll(String adapter, String endpoint) {
    while (engine(endpoint).running.contains(version(adapter))) {
      for (VirtualHost host : network.hosts.values()) {
        assertFalse(host.mayEvict(id(endpoint), version(adapter)));
      }
      pass(100);
    }
  }

  @Then("the owner of {string} may evict {string}")
  public void evictable(String endpoint, String adapter) {
    assertTrue(owner(endpoint).mayEvict(id(endpoint), version(adapter)));
  }

  @Then("requests run on both {string} and {string} on {string}")
  public void bothServe(String one, String other, String endpoint) {
    Set<AdapterVersion> running = new HashSet<>(engine(endpoint).running);
    assertEquals(running, Set.of(version(one), version(other)));
  }

  @And("all hosts know that {string} is leaving")
  public void allKnowLeaving(String endpoint) {
    for (VirtualHost host : network.hosts.values()) {
      assertTrue(host.membership.leavingEndpoints().contains(id(endpoint)), host.self + "");
    }
  }

  /** Requests a version at each host and returns whether one of the hosts dispatched a request. */
  private boolean serve(String adapter, String endpoint) {
    int before = network.dispatched;
    for (VirtualHost host : List.copyOf(network.hosts.values())) {
      host.request(id(endpoint), version(adapter));
      pass(3 * SECOND_MILLIS);
    }
    return network.dispatched > before;
  }

  private void add() {
    HostId name = new HostId("host-" + names++);
    listed.add(name);
    network.start(name.value());
  }

  private void pass(long millis) {
    network.runUntil(network.nowMillis() + millis);
  }

  private VirtualHost owner(String endpoint) {
    List<HostIncarnation> owners = network.orderers(id(endpoint));
    assertEquals(owners.size(), 1, "owners of " + endpoint);
    return network.hosts.get(owners.get(0).host());
  }

  private VirtualEngine engine(String endpoint) {
    return network.engines.get(id(endpoint));
  }

  private static EndpointId id(String endpoint) {
    return new EndpointId(endpoint);
  }

  private static AdapterVersion version(String adapter) {
    return new AdapterVersion(new AdapterId(adapter), 1);
  }
}
