package org.lentilhinge.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the registry with listings that are outdated, late or incomplete. */
public class EndpointRegistryTest {

  private final EndpointRegistry registry = new EndpointRegistry();

  private static FleetEndpoint entry(long started, EndpointState state, long revision) {
    return new FleetEndpoint(
        "one", started, "s", "10.0.0.1:80", "a", state, 0, revision, List.of());
  }

  @Test
  public void drainingIncarnationNeverAcceptsRequestsAgain() {
    EndpointRegistryTest fresh = new EndpointRegistryTest();
    fresh.registry.updateFromListing(List.of(entry(1, EndpointState.DRAINING, 5)), 0);
    fresh.registry.updateFromListing(List.of(entry(1, EndpointState.READY, 6)), 1_000);
    assertTrue(fresh.registry.usableEndpoints("s").isEmpty());
  }

  @Test
  public void restartUnderTheSameIdIsAnotherIncarnation() {
    EndpointRegistryTest fresh = new EndpointRegistryTest();
    FleetEndpoint former = entry(1, EndpointState.READY, 5);
    fresh.registry.updateFromListing(List.of(former), 0);
    List<FleetChange> changes =
        fresh.registry.updateFromListing(List.of(entry(2, EndpointState.READY, 6)), 1_000);
    assertEquals(
        changes.stream().map(FleetChange::kind).toList(),
        List.of(FleetChange.Kind.GONE, FleetChange.Kind.JOINED));
    assertFalse(fresh.registry.isUsable(former));
  }

  @Test
  public void lateRegistrationOfEarlierIncarnationIsIgnored() {
    EndpointRegistryTest fresh = new EndpointRegistryTest();
    fresh.registry.updateFromListing(List.of(entry(2, EndpointState.READY, 6)), 0);
    assertTrue(
        fresh
            .registry
            .updateFromListing(List.of(entry(1, EndpointState.DRAINING, 7)), 100)
            .isEmpty());
    assertEquals(fresh.registry.usableEndpoints("s").size(), 1);
  }

  @Test
  public void missingEntryIsRemovedAtOnceWhileTheStoreIsUp() {
    EndpointRegistryTest fresh = new EndpointRegistryTest();
    fresh.registry.updateFromListing(List.of(entry(1, EndpointState.READY, 5)), 0);
    fresh.registry.updateFromListing(List.of(), 1_000);
    assertTrue(fresh.registry.usableEndpoints("s").isEmpty());
  }

  @Test
  public void entryThatExpiredInStoreOutageIsKeptForTwoSeconds() {
    EndpointRegistryTest fresh = new EndpointRegistryTest();
    fresh.registry.updateFromListing(List.of(entry(1, EndpointState.READY, 5)), 0);
    fresh.registry.updateFromListing(List.of(), 6_000);
    assertEquals(fresh.registry.usableEndpoints("s").size(), 1);
    fresh.registry.updateFromListing(List.of(), 7_000);
    assertEquals(fresh.registry.usableEndpoints("s").size(), 1);
    fresh.registry.updateFromListing(List.of(), 8_000);
    assertTrue(fresh.registry.usableEndpoints("s").isEmpty());
  }
}
