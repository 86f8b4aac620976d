package org.lentilhinge.zone;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ZoneDistances;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.permit.EngineScheduler;
import org.lentilhinge.permit.EngineStatus;
import org.testng.annotations.Test;

/** Tests single plans and their application to requests. */
public class ZoneTrafficPlannerTest {

  private static final Map<String, String> REGIONS = ZoneTrafficSimulation.REGIONS;

  private static ZonePrices prices(ZoneTrafficSettings settings, ZoneRoundTrips roundTrips) {
    return ZonePrices.of(
        "a", REGIONS, settings, new ZoneDistances("a", "north", REGIONS), roundTrips);
  }

  private static ZonePrices prices() {
    return prices(ZoneTrafficSettings.FREE_UNBOUNDED, new ZoneRoundTrips());
  }

  private static List<EngineRoom> engines(String zone, long backlogMillis) {
    List<EngineRoom> engines = new ArrayList<>();
    for (int index = 0; index < 8; index++) {
      EngineStatus status = new EngineStatus("e/1", true, List.of("x"), backlogMillis, 3, 0);
      engines.add(EngineRoom.of(zone, Optional.of(status)));
    }
    return engines;
  }

  private static List<EngineRoom> all(List<List<EngineRoom>> zones) {
    return zones.stream().flatMap(List::stream).toList();
  }

  private static double share(ZoneTrafficPlan plan, String zone) {
    return plan.shares().stream()
        .filter(share -> share.zone().equals(zone))
        .mapToDouble(ZoneTrafficPlan.Share::share)
        .sum();
  }

  @Test
  public void sendersShareTheCapacityOfOneReceiver() {
    List<EngineRoom> rooms = all(List.of(engines("a", 350), engines("b", 350), engines("c", 0)));
    ZoneTrafficPlan first = new ZoneTrafficPlanner("a", REGIONS).update(rooms, prices(), 0);
    ZoneTrafficPlan second = new ZoneTrafficPlanner("b", REGIONS).update(rooms, prices(), 0);
    assertEquals(share(first, "c"), share(second, "c"), 1e-9);
    assertEquals(share(first, "b"), 0.0);
    // Both zones' demand is at most twice what their engines serve.
    assertTrue(share(first, "c") > 0.1);
    assertTrue((share(first, "c") + share(second, "c")) * 2 * 8 <= 8);
  }

  @Test
  public void zoneWithoutCurrentStatusesReceivesNothing() {
    List<EngineRoom> unknown =
        engines("b", 0).stream().map(engine -> EngineRoom.of("b", Optional.empty())).toList();
    ZoneTrafficPlan plan =
        new ZoneTrafficPlanner("a", REGIONS)
            .update(all(List.of(engines("a", 350), unknown)), prices(), 0);
    assertFalse(plan.mayLeave("b", 1));
    assertEquals(plan.shares().get(0).refusedShare(), 0.0);
    ZoneTrafficPlan ownUnknown =
        new ZoneTrafficPlanner("b", REGIONS)
            .update(all(List.of(engines("a", 350), unknown)), prices(), 0);
    assertTrue(ownUnknown.mayLeave("a", 1));
  }

  // A host that was started during the shortage would otherwise send more or less than the others.
  @Test
  public void hostsWithDifferentPastsAgree() {
    ZoneTrafficPlanner old = new ZoneTrafficPlanner("a", REGIONS);
    ZoneTrafficPlanner started = new ZoneTrafficPlanner("a", REGIONS);
    ZoneTrafficPlan plan = null;
    ZoneTrafficPlan other = null;
    for (long now = 0; now <= 20_000; now += 200) {
      long backlog = now < 10_000 ? 600 : 200;
      List<EngineRoom> rooms = all(List.of(engines("a", backlog), engines("b", 10)));
      plan = old.update(rooms, prices(), now);
      other = now < 10_000 ? other : started.update(rooms, prices(), now);
    }
    assertEquals(share(other, "b"), share(plan, "b"), 0.02);
  }

  @Test
  public void aboutThePlannedShareOfTheRequestsMayLeave() {
    ZoneTrafficPlan plan =
        new ZoneTrafficPlanner("a", REGIONS)
            .update(all(List.of(engines("a", 250), engines("b", 0))), prices(), 0);
    int left = 0;
    for (long hash = 0; hash < 10_000; hash++) {
      left += plan.mayLeave("b", hash) ? 1 : 0;
      assertTrue(plan.mayLeave("a", hash));
    }
    assertEquals(left / 10_000.0, share(plan, "b"), 0.02);
  }

  @Test
  public void formerConstantsApplyUntilSomethingIsMeasured() {
    ZoneDistances distances = new ZoneDistances("a", "north", REGIONS);
    ZonePrices prices = prices(new ZoneTrafficSettings(900, 900, 42, 0.5), new ZoneRoundTrips());
    for (String zone : List.of("a", "b", "c", "d", "unknown")) {
      assertEquals(prices.costMillis(zone, 1_000_000), distances.costMillis(zone));
    }
  }

  @Test
  public void costIncludesRoundTripsPriceAndTransmission() {
    ZoneRoundTrips roundTrips = new ZoneRoundTrips();
    for (int sample = 0; sample < 3; sample++) {
      roundTrips.recordConnect("b", 3, sample);
      roundTrips.recordConnect("d", 60, sample);
    }
    ZonePrices prices = prices(new ZoneTrafficSettings(100, 1_000, 40, 0.5), roundTrips);
    assertEquals(prices.costMillis("a", 100_000), 0.0);
    assertEquals(prices.costMillis("b", 100_000), 6 + 10.0);
    assertEquals(prices.costMillis("d", 100_000), 120 + 100 + 20.0);
    assertEquals(prices.costMillis("c", 100_000), 10.0);
  }

  private static FleetEndpoint engine(String id, String zone) {
    return new FleetEndpoint(
        id,
        1,
        "s",
        "10.0.0.1:80",
        zone,
        EndpointState.READY,
        0,
        new StoreRevision(0, 1),
        List.of("m"),
        "v1",
        6);
  }

  @Test
  public void requestMayLeaveForWhatOnlyAnotherZoneHas() {
    ZoneTrafficPlan plan =
        new ZoneTrafficPlanner("a", REGIONS)
            .update(all(List.of(engines("a", 0), engines("b", 0), engines("d", 0))), prices(), 0);
    FleetEndpoint here = engine("here", "a");
    FleetEndpoint there = engine("there", "b");
    FleetEndpoint far = engine("far", "d");
    List<FleetEndpoint> engines = List.of(here, there, far);
    RequestZones zones = new RequestZones(plan, 1_000, 1, zone -> true);
    Predicate<FleetEndpoint> loadedThere = engine -> engine.equals(there);
    assertEquals(zones.permitted(engines, Set.of(), loadedThere), engines);
    assertEquals(zones.reason("b"), RequestZones.Reason.ONLY_THERE);
    assertEquals(zones.permitted(engines, Set.of(), engine -> true), List.of(here));
    assertEquals(zones.reason("b"), RequestZones.Reason.OVERFLOW);
    assertEquals(zones.reason("a"), RequestZones.Reason.NEAR);
    // The only engine of the zone has refused the request.
    assertEquals(zones.permitted(engines, Set.of("here/1"), engine -> true), engines);
    // Neither the partition of a zone nor the bandwidth may leave a request without any engine.
    RequestZones closed = new RequestZones(plan, 1_000, 1, zone -> !zone.equals("d"));
    assertEquals(closed.permitted(engines, Set.of(), loadedThere), List.of(here, there));
    assertEquals(closed.permitted(List.of(far), Set.of(), engine -> true), List.of(far));
  }

  // Engines without adapter slots were taken for engines that do not respond.
  @Test
  public void engineWithoutAdapterSlotsIsServing() {
    EngineStatus withoutSlots = new EngineStatus("e/1", true, List.of(), 10, 0, 0);
    EngineRoom room = EngineRoom.of("a", Optional.of(withoutSlots));
    assertTrue(room.serving());
    assertEquals(room.spare(), 0.75, 1e-9);
    long backoff = EngineScheduler.UNREACHABLE_BACKOFF_MILLIS;
    EngineStatus unreachable = new EngineStatus("e/1", true, List.of(), backoff, 0, 0);
    assertFalse(EngineRoom.of("a", Optional.of(unreachable)).serving());
  }

  // The requests of a zone that the settings do not list could not leave it in a shortage.
  @Test
  public void zoneWithoutRegionIsUnrestricted() {
    ZoneTrafficPlan plan =
        new ZoneTrafficPlanner("unlisted", REGIONS)
            .update(all(List.of(engines("unlisted", 350), engines("b", 0))), prices(), 0);
    for (long hash = 0; hash < 100; hash++) {
      assertTrue(plan.mayLeave("b", hash));
    }
  }
}
