package org.lentilhinge.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Policy;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.ZoneId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the selection of endpoints by {@link AffinityRouting}. */
public class AffinityRoutingTest {

  private static final AdapterVersion WANTED = SampleFleet.version("wanted");
  private static final long NOW_MILLIS = 1_000;

  private SampleFleet sample;
  private FleetView fleet;
  private AffinityRouting routing;

  @BeforeMethod
  public void createFleet() {
    create(SampleFleet.STALL_WEIGHTED_POLICY, SampleFleet.NEAR_ZONE);
  }

  @Test
  public void usesHolderWithFreeBatchSlots() {
    announceResident("near-2b", 1);
    assertEquals(route(), new RoutingDecision.UseResident(id("near-2b"), RoutingReason.RESIDENT));
  }

  @Test
  public void prefersHolderInLocalZone() {
    announceResident("near-2b", 1);
    announceResident("near-1a", 1);
    assertEquals(route(), new RoutingDecision.UseResident(id("near-1a"), RoutingReason.RESIDENT));
  }

  @Test
  public void usesHolderInOtherRegionInsteadOfLoading() {
    announceResident("far-1a", 1);
    assertEquals(route(), new RoutingDecision.UseResident(id("far-1a"), RoutingReason.FAR_HOLDER));
  }

  @Test
  public void routesNoRequestToLeavingEngine() {
    announce("near-2b", Set.of(WANTED), Set.of(), 0, 0, true);
    assertNotEquals(endpoint(route()), id("near-2b"));
  }

  @Test
  public void routesNoRequestToSuspectEngineUntilExpiry() {
    announceResident("near-2b", 0);
    fleet.markSuspect(id("near-2b"), NOW_MILLIS + 1);
    assertNotEquals(endpoint(route()), id("near-2b"));
    fleet.markSuspect(id("near-2b"), NOW_MILLIS);
    assertEquals(endpoint(route()), id("near-2b"));
  }

  @Test
  public void skipsExcludedEndpoint() {
    announceResident("near-2b", 0);
    RoutingDecision decision =
        routing.route(SampleFleet.request("wanted", "near-2b"), fleet, NOW_MILLIS);
    assertNotEquals(endpoint(decision), id("near-2b"));
  }

  @Test
  public void joinsRunningLoad() {
    announce("near-1b", Set.of(), Set.of(WANTED), 0, 0, false);
    assertEquals(route(), new RoutingDecision.RequestLoad(id("near-1b"), RoutingReason.JOIN_LOAD));
  }

  @Test
  public void loadsInTheRegionOfTheStore() {
    create(SampleFleet.STALL_WEIGHTED_POLICY, SampleFleet.FAR_ZONE);
    assertTrue(endpoint(route()).value().startsWith("near"), "near engine for " + route());
  }

  @Test
  public void loadsAcrossTheLinkWhenNearStoreSharesAreExhausted() {
    for (String engine : List.of("near-1a", "near-1b", "near-2a", "near-2b")) {
      announce(engine, Set.of(), Set.of(), 0, 1_500, false);
    }
    assertTrue(endpoint(route()).value().startsWith("far"), "far engine for " + route());
  }

  @Test
  public void refusesLoadThatCouldNotStartInTime() {
    for (EngineView view : fleet.engines()) {
      announce(view.engine().id().value(), Set.of(), Set.of(), 0, 60_000, false);
    }
    RoutingDecision.Refuse refusal = (RoutingDecision.Refuse) route();
    assertEquals(refusal.reason(), RoutingReason.STORE_BUSY);
    assertEquals(refusal.retryAfterMillis(), 60_000);
  }

  @Test
  public void spillsFromHolderWithQueueToEngineWithFreeBatchSlots() {
    announceResident("near-1a", SampleFleet.BATCH_SLOTS + 1);
    assertEquals(((RoutingDecision.RequestLoad) route()).reason(), RoutingReason.SPILL);
  }

  @Test
  public void refusesWhenAllHoldersHaveLongQueuesAndNoEngineHasFreeBatchSlots() {
    for (EngineView view : fleet.engines()) {
      announceResident(view.engine().id().value(), 2 * SampleFleet.BATCH_SLOTS);
    }
    assertEquals(route().reason(), RoutingReason.NO_CAPACITY);
  }

  @Test
  public void packsLoadsOnTheFirstEngineUnderBatchWeightedPolicy() {
    create(SampleFleet.BATCH_WEIGHTED_POLICY, SampleFleet.NEAR_ZONE);
    for (String adapter : List.of("one", "two", "three", "four", "five")) {
      RoutingDecision decision = routing.route(SampleFleet.request(adapter), fleet, NOW_MILLIS);
      assertEquals(endpoint(decision), id("near-1a"));
    }
  }

  @Test
  public void suggestsLocalReplicaOfAdapterRequestedAcrossTheLink() {
    create(SampleFleet.STALL_WEIGHTED_POLICY, SampleFleet.FAR_ZONE);
    announceResident("near-1a", 0);
    RoutingRequest request = SampleFleet.request("wanted");
    RoutingDecision decision = routing.route(request, fleet, NOW_MILLIS);
    EndpointId hinted =
        routing.replicaHint(request, decision, fleet, NOW_MILLIS).orElseThrow().endpoint();
    assertTrue(hinted.value().startsWith("far"), "far engine, not " + hinted);
  }

  private void create(Policy policy, ZoneId zone) {
    Configuration configuration = SampleFleet.configuration(policy, List.of());
    sample = new SampleFleet();
    fleet = new FleetView(zone, configuration);
    routing = new AffinityRouting(configuration, SampleFleet.LINK);
  }

  private void announceResident(String engine, int running) {
    announce(engine, Set.of(WANTED), Set.of(), running, 0, false);
  }

  private void announce(
      String engine,
      Set<AdapterVersion> resident,
      Set<AdapterVersion> loading,
      int running,
      long loadWaitMillis,
      boolean leaving) {
    fleet.applyAnnouncement(
        sample.announcement(engine, resident, loading, running, loadWaitMillis, leaving), 0);
  }

  private RoutingDecision route() {
    return routing.route(SampleFleet.request("wanted"), fleet, NOW_MILLIS);
  }

  private static EndpointId endpoint(RoutingDecision decision) {
    if (decision instanceof RoutingDecision.UseResident use) {
      return use.endpoint();
    }
    return ((RoutingDecision.RequestLoad) decision).endpoint();
  }

  private static EndpointId id(String name) {
    return new EndpointId(name);
  }
}
