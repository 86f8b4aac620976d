package org.lentilhinge.zone;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.lentilhinge.forward.ZoneDistances;
import org.testng.annotations.Test;

/** Tests the round-trip times, the bandwidth between regions and the reports. */
public class ZoneMeasurementTest {

  @Test
  public void singleSlowConnectionsChangeNothing() {
    ZoneRoundTrips roundTrips = new ZoneRoundTrips();
    roundTrips.recordConnect("b", 500, 0);
    assertTrue(roundTrips.millis("b").isEmpty());
    for (long now = 0; now < 20_000; now += 500) {
      roundTrips.recordConnect("b", now % 4_000 == 0 ? 800 : 3, now);
    }
    assertEquals(roundTrips.millis("b").orElseThrow(), 3.0);
    // Rare connections: a window does not end with only two of them.
    roundTrips.recordConnect("b", 700, 60_000);
    roundTrips.recordConnect("b", 700, 90_000);
    assertEquals(roundTrips.millis("b").orElseThrow(), 3.0);
  }

  @Test
  public void lastingJumpIsFollowedWithinSeconds() {
    ZoneRoundTrips roundTrips = new ZoneRoundTrips();
    for (long now = 0; now < 15_000; now += 200) {
      roundTrips.recordConnect("b", now < 10_000 ? 3 : 40, now);
    }
    assertEquals(roundTrips.millis("b").orElseThrow(), 40.0);
    roundTrips.recordConnect("b", 2, 15_000);
    assertEquals(roundTrips.millis("b").orElseThrow(), 2.0);
  }

  // A quarter of the engines crashed, and the others of their zones were not used for seconds.
  @Test
  public void zoneIsUnreachableOnlyIfSeveralEndpointsFailAndNoneResponds() {
    ZoneRoundTrips roundTrips = new ZoneRoundTrips();
    roundTrips.recordFailure("b", "one/1", 0);
    roundTrips.recordFailure("b", "one/1", 10);
    assertFalse(roundTrips.isUnreachable("b", 10));
    roundTrips.recordFailure("b", "two/1", 20);
    assertTrue(roundTrips.isUnreachable("b", 20));
    roundTrips.recordResponse("b");
    assertFalse(roundTrips.isUnreachable("b", 20));
    roundTrips.recordFailure("b", "one/1", 30);
    roundTrips.recordFailure("b", "two/1", 40);
    assertFalse(roundTrips.isUnreachable("b", 4_000));
    roundTrips.recordFailure("b", "one/1", 4_000);
    assertTrue(roundTrips.isUnreachable("b", 4_000));
    roundTrips.recordConnect("b", 3, 4_100);
    assertFalse(roundTrips.isUnreachable("b", 4_100));
  }

  // The hosts of both regions send as much as they may: together at most 4 Mbit/s.
  @Test
  public void trafficBetweenRegionsStaysBelowItsPart() {
    ZoneTrafficSettings settings = new ZoneTrafficSettings(0, 0, 40, 0.1);
    int hosts = 10;
    long sent = 0;
    for (int host = 0; host < hosts; host++) {
      RegionTrafficBudget budget = new RegionTrafficBudget(settings, 0);
      for (long now = 0; now < 20_000; now++) {
        if (budget.hasRoom(hosts, now)) {
          budget.use(20_000);
          sent += 20_000;
        }
      }
    }
    double megabitsPerSecond = sent * 8 / 1e6 / 20;
    assertTrue(megabitsPerSecond <= 4.1 && megabitsPerSecond > 3.8, "used " + megabitsPerSecond);
    RegionTrafficBudget unbounded = new RegionTrafficBudget(ZoneTrafficSettings.FREE_UNBOUNDED, 0);
    unbounded.use(1_000_000_000);
    assertTrue(unbounded.hasRoom(hosts, 0));
  }

  private static ZoneTrafficPlan plan(double share) {
    ZonePrices prices =
        ZonePrices.of(
            "a",
            ZoneTrafficSimulation.REGIONS,
            ZoneTrafficSettings.FREE_UNBOUNDED,
            new ZoneDistances("a", "north", ZoneTrafficSimulation.REGIONS),
            new ZoneRoundTrips());
    return new ZoneTrafficPlan(
        "a", true, List.of(new ZoneTrafficPlan.Share("b", share, 0, 4, 0)), prices);
  }

  @Test
  public void reportsAreBounded() {
    ShareReports reports = new ShareReports();
    assertTrue(reports.changes(plan(0.05), 0).isEmpty());
    assertEquals(reports.changes(plan(0.2), 200).size(), 1);
    assertTrue(reports.changes(plan(0.5), 400).isEmpty());
    assertTrue(reports.changes(plan(0.25), 1_400).isEmpty());
    assertEquals(reports.changes(plan(0), 1_600).size(), 1);
    assertTrue(reports.changes(plan(0), 9_000).isEmpty());
  }

  // A part of 0 was taken for a bandwidth that is not stated, so that all requests could leave.
  @Test
  public void withoutPartOfTheBandwidthNothingMayLeave() {
    RegionTrafficBudget budget = new RegionTrafficBudget(new ZoneTrafficSettings(0, 0, 40, 0), 0);
    assertFalse(budget.hasRoom(1, 10_000));
  }

  // After many requests at once no request left the region until all of them were made up for.
  @Test
  public void debtIsAtMostOneBurstOrOneLargerRequest() {
    // 500 bytes per millisecond.
    RegionTrafficBudget budget = new RegionTrafficBudget(new ZoneTrafficSettings(0, 0, 40, 0.1), 0);
    assertTrue(budget.hasRoom(1, 1_000));
    for (int request = 0; request < 100; request++) {
      budget.use(100_000);
    }
    assertFalse(budget.hasRoom(1, 1_999));
    assertTrue(budget.hasRoom(1, 2_001));
    budget.use(2_000_000);
    budget.use(1_000);
    assertFalse(budget.hasRoom(1, 5_900));
    assertTrue(budget.hasRoom(1, 6_100));
  }
}
