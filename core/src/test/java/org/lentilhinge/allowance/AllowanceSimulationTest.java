package org.lentilhinge.allowance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests quotas on 77 hosts, under one load or failure at a time. */
public class AllowanceSimulationTest {

  /** The time after which a host that started without any saved quota serves its customers. */
  private static final long SETTLED_MILLIS = 7_000;

  private static final double TOLERANCE = 1.25;

  private AllowanceSimulation hot;

  private static AllowanceSimulation settled(long seed) {
    AllowanceSimulation simulation = new AllowanceSimulation(seed);
    simulation.runUntil(SETTLED_MILLIS);
    return simulation;
  }

  private static void assertBound(AllowanceSimulation simulation) {
    double highest = simulation.highestUse(0);
    assertTrue(highest <= TOLERANCE, "highest use in 8 s: " + highest);
  }

  private static long refusedWithinQuota(AllowanceSimulation simulation, String hot, long end) {
    return simulation.arrivals(SETTLED_MILLIS, end).stream()
        .filter(entry -> !entry.admitted() && !entry.customer().equals(hot))
        .count();
  }

  // A share for each host would let the small customer run one request in 20 s at each.
  @Test
  public void calmCustomersAreNotRefused() {
    AllowanceSimulation simulation = settled(1);
    simulation.runUntil(20_000);
    assertEquals(refusedWithinQuota(simulation, "", 20_000), 0);
    assertBound(simulation);
  }

  /** One customer has six times its usual use from 7 s on, 3.3 times its limit, until 24 s. */
  @BeforeClass
  public void runHotCustomer() {
    hot = settled(2);
    hot.multiplyDemand(AllowanceSimulation.LARGE, 6);
    hot.runUntil(24_000);
  }

  // Each host knows what the others admit only half a second later.
  @Test
  public void hotCustomerIsBoundAndOthersAreNotRefused() {
    assertEquals(refusedWithinQuota(hot, AllowanceSimulation.LARGE, 24_000), 0);
    assertBound(hot);
    double used = hot.highestUse(AllowanceSimulation.LARGE, 15_000);
    assertTrue(used > 0.7, "the quota is not used: " + used);
  }

  // The parts of a partitioned network together used the quota several times.
  @Test(dataProvider = "partitions")
  public void partsOfThePartitionedNetworkKeepTheBoundTogether(String kind, int parts) {
    AllowanceSimulation simulation = settled(5);
    simulation.multiplyDemand(AllowanceSimulation.LARGE, 6);
    simulation.runUntil(12_000);
    simulation.setConnected((from, to) -> part(kind, from) == part(kind, to));
    simulation.runUntil(20_000);
    simulation.setConnected((from, to) -> true);
    simulation.runUntil(26_000);
    assertBound(simulation);
    // Customers use about 0.55 of their quotas, and each part has 1.1 times its share.
    long withinQuota =
        simulation.arrivals(12_000, 20_000).stream()
            .filter(entry -> !entry.customer().equals(AllowanceSimulation.LARGE))
            .count();
    long refused = refusedWithinQuota(simulation, AllowanceSimulation.LARGE, 21_000);
    assertTrue(refused <= withinQuota / 20, refused + " refused of " + withinQuota);
    assertEquals(
        simulation.arrivals(21_000, 26_000).stream()
            .filter(entry -> !entry.customer().equals(AllowanceSimulation.LARGE))
            .filter(entry -> !entry.admitted())
            .count(),
        0);
  }

  @DataProvider
  public static Object[][] partitions() {
    return new Object[][] {{"host", 2}, {"zone", 2}, {"region", 2}, {"zones", 6}};
  }

  private static int part(String kind, int host) {
    return switch (kind) {
      case "host" -> host == 0 ? 1 : 0;
      case "zone" -> AllowanceSimulation.zone(host) == 0 ? 1 : 0;
      case "region" -> AllowanceSimulation.region(host);
      default -> AllowanceSimulation.zone(host);
    };
  }

  // A restarted host has saved up nothing, although it knows nothing of the past use.
  @Test
  public void restartedHostsKeepTheBound() {
    AllowanceSimulation simulation = settled(6);
    simulation.multiplyDemand(AllowanceSimulation.LARGE, 6);
    for (int round = 0; round < 10; round++) {
      simulation.runUntil(12_000 + round * 1_000L);
      for (int host = 0; host < 10; host++) {
        simulation.start(round * 7 + host);
      }
    }
    simulation.runUntil(24_000);
    assertBound(simulation);
    long refused = refusedWithinQuota(simulation, AllowanceSimulation.LARGE, 24_000);
    long withinQuota =
        simulation.arrivals(12_000, 24_000).stream()
            .filter(entry -> !entry.customer().equals(AllowanceSimulation.LARGE))
            .count();
    // A restarted host serves as before about two seconds later.
    assertTrue(refused <= withinQuota / 20, refused + " refused of " + withinQuota);
  }

  // A new host serves its callers, and those that it replaces leave no lasting gap.
  @Test
  public void joinedHostsKeepTheBound() {
    AllowanceSimulation simulation = settled(12);
    simulation.multiplyDemand(AllowanceSimulation.LARGE, 6);
    simulation.runUntil(10_000);
    for (int host = 0; host < 7; host++) {
      simulation.join(host);
    }
    simulation.runUntil(20_000);
    assertBound(simulation);
    long earlier = refusedWithinQuota(simulation, AllowanceSimulation.LARGE, 13_000);
    assertTrue(earlier <= 30, "refused by hosts that have just started: " + earlier);
    assertEquals(refusedWithinQuota(simulation, AllowanceSimulation.LARGE, 20_000), earlier);
  }

  // All hosts start at the same time, as after an outage, and the burst is not available at once.
  @Test
  public void hostsThatStartTogetherHaveSavedUpNothing() {
    AllowanceSimulation simulation = new AllowanceSimulation(7);
    simulation.multiplyDemand(AllowanceSimulation.LARGE, 6);
    simulation.runUntil(2_000);
    long ran =
        simulation.arrivals(0, 2_000).stream()
            .filter(entry -> entry.customer().equals(AllowanceSimulation.LARGE))
            .filter(AllowanceSimulation.Arrival::admitted)
            .count();
    // Two seconds of the rate, and what is admitted before reports arrive; a burst is 162 requests.
    assertTrue(ran <= 45 * 1.8 * (2 + 1.3), "ran in the first 2 s: " + ran);
    simulation.runUntil(12_000);
    assertBound(simulation);
  }

  // Lost reports neither hide use for good nor silence a host.
  @Test
  public void lostReportsKeepTheBound() {
    AllowanceSimulation simulation = settled(8);
    simulation.setLossRate(0.1);
    simulation.multiplyDemand(AllowanceSimulation.LARGE, 6);
    simulation.runUntil(24_000);
    assertEquals(refusedWithinQuota(simulation, AllowanceSimulation.LARGE, 24_000), 0);
    assertBound(simulation);
  }

  // A lowered limit applied only after the quota saved up under the former one was used.
  @Test
  public void loweredLimitAppliesAtOnce() {
    AllowanceSimulation simulation = settled(9);
    simulation.runUntil(16_000);
    simulation.setRate(AllowanceSimulation.LARGE, 45 * 2_100 * 0.5);
    simulation.runUntil(26_000);
    double highest = simulation.highestUse(AllowanceSimulation.LARGE, 16_000);
    assertTrue(highest <= TOLERANCE, "highest use in 8 s: " + highest);
    assertTrue(simulation.refused(AllowanceSimulation.LARGE, 16_000, 26_000) > 0);
  }

  // Callers that are all told the same time return together and are refused again.
  @Test
  public void refusedCallersReturnOneAfterTheOther() {
    List<AllowanceSimulation.Arrival> refused =
        hot.arrivals(15_000, 24_000).stream()
            .filter(entry -> !entry.admitted() && entry.host() == 0)
            .toList();
    Set<Long> returns = new TreeSet<>();
    refused.forEach(entry -> returns.add(entry.atMillis() + entry.retryMillis()));
    assertTrue(refused.size() > 5, "refused: " + refused.size());
    assertEquals(returns.size(), refused.size());
    assertTrue(refused.stream().allMatch(entry -> entry.retryMillis() <= 16_000));
  }

  // The customer at six times its usual use is above the mean, and the others are below.
  @Test
  public void relativeUseComparesCustomers() {
    AllowanceAccounts host = hot.host(3);
    assertTrue(host.relativeUse(AllowanceSimulation.LARGE, 24_000) > 1.3);
    assertTrue(host.relativeUse("c2", 24_000) < 1.1);
    double sum = host.relativeUse(AllowanceSimulation.SMALL, 24_000);
    for (int index = 1; index < 16; index++) {
      sum += host.relativeUse("c" + index, 24_000);
    }
    assertEquals(sum / 16, 1, 0.1);
  }
}
