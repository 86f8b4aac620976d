package org.lentilhinge.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.configuration.StoreBudget;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the division of the store's budget and the lending of load permits. */
public class StoreBudgetShareTest {

  private static final ZoneId ZONE = new ZoneId("one");
  private static final HostId FIRST = new HostId("first");
  private static final HostId SECOND = new HostId("second");
  private static final StoreBudget BUDGET =
      new StoreBudget(2.0, 5, Map.of(ZONE, 2, new ZoneId("two"), 1, new ZoneId("three"), 1));

  private StoreBudgetShare first;
  private StoreBudgetShare second;

  @BeforeMethod
  public void createShares() {
    first = new StoreBudgetShare(FIRST, ZONE, List.of(FIRST, SECOND), BUDGET, 0);
    second = new StoreBudgetShare(SECOND, ZONE, List.of(FIRST, SECOND), BUDGET, 0);
  }

  @Test
  public void dividesCompleteBudgetExactly() {
    int inFlight = 0;
    double perSecond = 0;
    for (ZoneId zone : BUDGET.zoneShares().keySet()) {
      inFlight += ZoneShare.of(BUDGET, zone).loadsInFlight();
      perSecond += ZoneShare.of(BUDGET, zone).loadsPerSecond();
    }
    assertEquals(inFlight, 5);
    assertEquals(perSecond, 2.0, 1e-9);
  }

  @Test
  public void startsWithoutTokensSoThatRestartCannotSpendTwice() {
    assertFalse(first.tryStart(false, 0));
    assertFalse(first.tryStart(false, 1_900));
    assertTrue(first.tryStart(false, 2_000));
  }

  @Test
  public void lendsStartsToHostWithGreaterDemand() {
    first.reportDemand(3, 1_000);
    assertFalse(first.tryStart(false, 1_000));
    exchange(1_000);
    assertTrue(first.tryStart(false, 1_000));
    first.finish(1_100);
    first.reportDemand(0, 1_100);
    exchange(1_100);
    assertFalse(second.tryStart(false, 2_900));
    assertTrue(second.tryStart(false, 3_000));
  }

  @Test
  public void lendsNothingToHostWithSmallerDemand() {
    second.reportDemand(5, 1_000);
    first.reportDemand(3, 1_000);
    exchange(1_000);
    assertFalse(first.tryStart(false, 1_000));
  }

  @Test
  public void keepsOneInFlightLoadAfterRecentDemand() {
    second.reportDemand(1, 3_000);
    second.reportDemand(0, 3_100);
    first.reportDemand(3, 4_000);
    exchange(4_000);
    assertTrue(second.tryStart(false, 8_000));
  }

  @Test
  public void speculatesOnlyWithFullReserve() {
    assertFalse(first.tryStart(true, 2_500));
    assertTrue(first.tryStart(true, 60_000));
    assertFalse(first.tryStart(true, 60_000));
  }

  @Test
  public void shrinksAtOnceAndGrowsLater() {
    HostId third = new HostId("third");
    first.onHostList(List.of(FIRST, SECOND, third), 0);
    assertFalse(first.tryStart(false, 2_900));
    first.onHostList(List.of(FIRST), 3_000);
    assertTrue(first.tryStart(false, 3_000));
    assertFalse(first.tryStart(false, 5_900));
  }

  private void exchange(long nowMillis) {
    for (AddressedMessage request : first.messages(nowMillis)) {
      Optional<AddressedMessage> grant = second.onMessage(request.message(), nowMillis);
      grant.ifPresent(message -> first.onMessage(message.message(), nowMillis));
    }
  }
}
