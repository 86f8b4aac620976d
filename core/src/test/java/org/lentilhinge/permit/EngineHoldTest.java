package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests that one host at a time sends orders to an engine, with increasing fencing tokens. */
public class EngineHoldTest {

  private static final long LEASE_MILLIS = 3_000;
  private static final int SEEDS = 2_000;
  private static final int HOSTS = 3;
  private static final long STEP_MILLIS = 100;
  private static final int STEPS = 300;

  @Test
  public void takesAnEngineOnlyAfterItsCountStoodStillForTheLease() {
    EngineHold ownership = new EngineHold(LEASE_MILLIS, 7);
    ownership.observed(4, 0);
    ownership.observed(4, LEASE_MILLIS);
    assertFalse(ownership.take(0, 10, LEASE_MILLIS));
    ownership.observed(5, LEASE_MILLIS + 100);
    ownership.observed(5, 2 * LEASE_MILLIS);
    assertFalse(ownership.take(0, 10, 2 * LEASE_MILLIS));
    ownership.observed(5, 2 * LEASE_MILLIS + 500);
    assertTrue(ownership.take(0, 10, 2 * LEASE_MILLIS + 500));
  }

  @Test
  public void takesNothingWithoutOneFreshReadingOrOneRevision() {
    EngineHold ownership = new EngineHold(LEASE_MILLIS, 7);
    ownership.observed(4, 0);
    assertFalse(ownership.take(0, 10, 10_000));
    ownership.observed(4, 10_000);
    assertFalse(ownership.take(0, 0, 10_000));
  }

  @Test
  public void holderWhoseCountMovedWithoutItGoesBackToWatching() {
    EngineHold ownership = new EngineHold(LEASE_MILLIS, 7);
    ownership.observed(4, 0);
    ownership.observed(4, 4_000);
    assertTrue(ownership.take(0, 10, 4_000));
    ownership.accepted(4_100);
    ownership.observed(6, 5_000);
    assertFalse(ownership.isHolding());
  }

  @Test
  public void orderOfUnknownFateIsNoReasonToStepBack() {
    EngineHold ownership = new EngineHold(LEASE_MILLIS, 7);
    ownership.observed(4, 0);
    ownership.observed(4, 4_000);
    ownership.take(0, 10, 4_000);
    ownership.unanswered();
    ownership.observed(5, 5_000);
    assertTrue(ownership.isHolding());
    assertEquals(ownership.expectedOrders().getAsLong(), 5);
  }

  /** An engine that counts the accepted orders and records them. */
  private static final class CountingEngine {

    private final List<long[]> accepted = new ArrayList<>();
    private long orders;

    void order(EngineHold ownership, int host, long nowMillis) {
      if (ownership.expectedOrders().orElse(-1) == orders) {
        accepted.add(new long[] {nowMillis, host, ownership.fence().getAsLong()});
        orders++;
        ownership.accepted(nowMillis);
      } else {
        ownership.observed(orders, nowMillis);
      }
    }
  }

  @Test
  public void keepsTurnsAndFencesOverPausesAndPartitionsForManySeeds() {
    for (int seed = 0; seed < SEEDS; seed++) {
      check(seed);
    }
  }

  /**
   * Runs hosts without any connection between them that pause at random and take over the engine.
   */
  private static void check(int seed) {
    Random random = new Random(seed);
    CountingEngine engine = new CountingEngine();
    EngineHold[] ownerships = new EngineHold[HOSTS];
    long[] awakeMillis = new long[HOSTS];
    for (int host = 0; host < HOSTS; host++) {
      ownerships[host] = new EngineHold(LEASE_MILLIS, host);
    }
    long revision = 1;
    for (int step = 0; step < STEPS; step++) {
      long now = step * STEP_MILLIS;
      revision += random.nextInt(2);
      int host = random.nextInt(HOSTS);
      if (now < awakeMillis[host]) {
        continue;
      }
      if (random.nextInt(40) == 0) {
        awakeMillis[host] = now + 1_000 + random.nextInt(6_000);
      }
      if (ownerships[host].isHolding()) {
        engine.order(ownerships[host], host, now);
      } else {
        ownerships[host].observed(engine.orders, now);
        ownerships[host].take(host, revision, now);
      }
    }
    long highest = 0;
    long[] former = {Long.MIN_VALUE / 2, -1, 0};
    for (long[] order : engine.accepted) {
      assertTrue(order[2] >= highest, "seed " + seed + ": the fencing token decreased");
      boolean takeover = former[1] >= 0 && former[1] != order[1];
      assertTrue(
          !takeover || order[0] - former[0] >= LEASE_MILLIS,
          "seed " + seed + ": a takeover within the lease");
      assertTrue(
          !takeover || order[2] > highest,
          "seed " + seed + ": two hosts with the same fencing token");
      highest = order[2];
      former = order;
    }
  }
}
