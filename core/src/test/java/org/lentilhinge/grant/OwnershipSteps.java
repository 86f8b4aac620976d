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
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;

/** Steps of the ownership scenarios, run in the simulated network. */
public class OwnershipSteps {

  private static final long SECOND_MILLIS = 1_000;
  private static final long START_MILLIS = 30_000;

  private final VirtualNetwork network = new VirtualNetwork(1);
  private final List<HostId> listedHosts = new ArrayList<>();
  private HostIncarnation formerOwner;
  private VirtualHost gateway;
  private int createdHosts;

  @Given("a zone of {int} hosts")
  public void createZone(int count) {
    network.addEngine("checked", FencingSupport.CHECKED);
    network.addEngine("ignoring", FencingSupport.IGNORED);
    for (int index = 0; index < count; index++) {
      addHost();
    }
    network.deliverList(listedHosts);
    advance(START_MILLIS);
  }

  @Given("{string} is resident on {string}")
  public void loadAdapter(String adapter, String endpoint) {
    owner(endpoint).order(id(endpoint), true, version(adapter));
    advance(3 * SECOND_MILLIS);
    assertTrue(engine(endpoint).resident.contains(version(adapter)));
  }

  @Given("a stream of {int} second(s) runs on {string} on {string} from another host")
  public void startStream(int seconds, String adapter, String endpoint) {
    formerOwner = owner(endpoint).self;
    gateway =
        network.hosts.values().stream()
            .filter(host -> !host.self.equals(formerOwner))
            .findFirst()
            .orElseThrow();
    network.requestMillis = OptionalLong.of(seconds * SECOND_MILLIS);
    gateway.request(id(endpoint), version(adapter));
    advance(500);
    assertTrue(engine(endpoint).running.contains(version(adapter)));
  }

  @When("the owner of {string} decides to load {string} and is paused for {int} seconds")
  public void pauseOwnerWithPendingOrder(String endpoint, String adapter, int seconds) {
    VirtualHost owner = decideToLoad(endpoint, adapter);
    owner.pausedUntilMillis = network.nowMillis() + seconds * SECOND_MILLIS;
    advance((seconds + 1) * SECOND_MILLIS);
  }

  @When("the owner of {string} decides to load {string} and is suspended for {int} seconds")
  public void suspendOwnerWithPendingOrder(String endpoint, String adapter, int seconds) {
    VirtualHost owner = decideToLoad(endpoint, adapter);
    owner.suspend(seconds * SECOND_MILLIS);
    advance((seconds + 1) * SECOND_MILLIS);
  }

  @When("the owner of {string} decides to load {string}")
  public VirtualHost decideToLoad(String endpoint, String adapter) {
    VirtualHost owner = owner(endpoint);
    formerOwner = owner.self;
    owner.order(id(endpoint), true, version(adapter));
    return owner;
  }

  @When("the owner of {string} fails")
  public void ownerFails(String endpoint) {
    VirtualHost owner = owner(endpoint);
    formerOwner = owner.self;
    network.kill(owner);
  }

  @When("{int} hosts fail")
  public void hostsFail(int count) {
    List.copyOf(network.hosts.values()).stream().limit(count).forEach(network::kill);
  }

  @When("the host of the stream fails")
  public void gatewayFails() {
    network.kill(gateway);
  }

  @When("the host of the stream and the owner of {string} fail and restart")
  public void restartGatewayAndOwner(String endpoint) {
    HostId owner = owner(endpoint).self.host();
    network.deliverList(network.start(owner.value()), listedHosts);
    network.deliverList(network.start(gateway.self.host().value()), listedHosts);
  }

  @When("the host of the stream and the owner of {string} are partitioned from each other")
  public void partition(String endpoint) {
    HostId owner = owner(endpoint).self.host();
    network.brokenLinks.add(List.of(owner, gateway.self.host()));
    network.brokenLinks.add(List.of(gateway.self.host(), owner));
  }

  @When("messages {word} the owner of {string} are dropped")
  public void dropMessages(String direction, String endpoint) {
    HostId owner = owner(endpoint).self.host();
    for (HostId host : network.hosts.keySet()) {
      boolean from = direction.equals("from");
      network.brokenLinks.add(from ? List.of(owner, host) : List.of(host, owner));
    }
    network.brokenLinks.remove(List.of(owner, owner));
  }

  @When("the partition ends")
  public void endPartition() {
    network.brokenLinks.clear();
  }

  @When("the failed hosts are removed from the list")
  public void removeFailedHostsFromList() {
    listedHosts.retainAll(network.hosts.keySet());
    network.deliverList(listedHosts);
  }

  @When("all hosts are replaced one after another, every {int} seconds")
  public void replaceAll(int seconds) {
    for (HostId host : List.copyOf(listedHosts)) {
      addHost();
      network.deliverList(listedHosts);
      VirtualHost replaced = network.hosts.get(host);
      replaced.leave();
      advance(5 * SECOND_MILLIS);
      network.kill(replaced);
      listedHosts.remove(host);
      network.deliverList(listedHosts);
      advance(seconds * SECOND_MILLIS);
    }
  }

  @When("{int} new hosts receive a list without {int} old hosts, which keep running")
  public void deliverNewListToNewHosts(int count, int oldCount) {
    List<HostId> received = new ArrayList<>(listedHosts.subList(oldCount, listedHosts.size()));
    for (int index = 0; index < count; index++) {
      HostId name = new HostId("host-" + createdHosts++);
      received.add(name);
      network.start(name.value());
    }
    received.stream()
        .filter(host -> !listedHosts.contains(host))
        .forEach(host -> network.deliverList(network.hosts.get(host), received));
  }

  @When("the owner of {string} leaves")
  public void ownerLeaves(String endpoint) {
    VirtualHost owner = owner(endpoint);
    formerOwner = owner.self;
    owner.leave();
  }

  @When("an unknown host sends {string} an order with a higher fencing token")
  public void orderFromUnknownHost(String endpoint) {
    FencingToken token = new FencingToken(1_000, new HostId("stranger"));
    engine(endpoint).order(true, version("stranger"), token);
  }

  @When("one host detects that {string} is leaving")
  public void endpointLeaves(String endpoint) {
    VirtualHost host = network.hosts.values().iterator().next();
    host.endpointLeaves(id(endpoint));
  }

  @When("{int} second(s) pass(es)")
  public void waitWithListUpdates(int seconds) {
    for (int second = 0; second < seconds; second++) {
      advance(SECOND_MILLIS);
      network.deliverList(listedHosts);
    }
  }

  @When("{int} seconds pass without a list")
  public void waitWithoutListUpdates(int seconds) {
    advance(seconds * SECOND_MILLIS);
  }

  @Then("the order for {string} is dropped")
  public void orderIsDropped(String adapter) {
    assertEquals(network.droppedOrders, 1);
    for (VirtualEngine engine : network.engines.values()) {
      assertFalse(engine.resident.contains(version(adapter)));
    }
  }

  @Then("another host may send orders to {string}")
  public void anotherHostMayOrder(String endpoint) {
    assertFalse(owner(endpoint).self.equals(formerOwner), "owner is still " + formerOwner);
  }

  @Then("{string} has an owner")
  public void hasOwner(String endpoint) {
    owner(endpoint);
  }

  @Then("{string} has no owner")
  public void hasNoOwner(String endpoint) {
    assertEquals(network.hostsThatMayOrder(id(endpoint)), List.of());
  }

  @Then("no host may send orders to {string} for {int} seconds")
  public void noHostMayOrderWithin(String endpoint, int seconds) {
    for (long millis = 0; millis < seconds * SECOND_MILLIS; millis += 100) {
      hasNoOwner(endpoint);
      advance(100);
    }
    advance(2 * SECOND_MILLIS);
  }

  @Then("the owner of {string} has released the endpoint after {int} refusal(s)")
  public void ownerHasReleased(String endpoint, int refusals) {
    assertEquals(engine(endpoint).refusals, refusals);
    assertFalse(network.hostsThatMayOrder(id(endpoint)).contains(formerOwner));
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
  public void ownerMayNotEvict(String endpoint, String adapter) {
    int checks = 0;
    while (engine(endpoint).running.contains(version(adapter))) {
      assertFalse(owner(endpoint).mayEvict(id(endpoint), version(adapter)));
      advance(100);
      checks++;
    }
    assertTrue(checks > 0, "no stream ran");
  }

  @Then("no host may evict {string} on {string} while the stream runs")
  public void noHostMayEvict(String adapter, String endpoint) {
    while (engine(endpoint).running.contains(version(adapter))) {
      for (VirtualHost host : network.hosts.values()) {
        assertFalse(host.mayEvict(id(endpoint), version(adapter)));
      }
      advance(100);
    }
  }

  @Then("the owner of {string} may evict {string}")
  public void ownerMayEvict(String endpoint, String adapter) {
    assertTrue(owner(endpoint).mayEvict(id(endpoint), version(adapter)));
  }

  @Then("requests run on both {string} and {string} on {string}")
  public void requestsRunOnBoth(String one, String other, String endpoint) {
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
      advance(3 * SECOND_MILLIS);
    }
    return network.dispatched > before;
  }

  private void addHost() {
    HostId name = new HostId("host-" + createdHosts++);
    listedHosts.add(name);
    network.start(name.value());
  }

  private void advance(long millis) {
    network.runUntil(network.nowMillis() + millis);
  }

  private VirtualHost owner(String endpoint) {
    List<HostIncarnation> owners = network.hostsThatMayOrder(id(endpoint));
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
