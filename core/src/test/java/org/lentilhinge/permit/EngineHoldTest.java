package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests that an engine is ordered by one host at a time, with fencing numbers that rise. */
public class EngineHoldTest {

  private static final long LEASE_MILLIS = 3_000;
  private static final int SEEDS = 2_000;
  private static final int HOSTS = 3;
  private static final long STEP_MILLIS = 100;
  private static final int STEPS = 300;

  @Test
  public void takesAnEngineOnlyAfterItsCountStoodStillForTheLease() {
    EngineHold hold = new EngineHold(LEASE_MILLIS, 7);
    hold.observed(4, 0);
    hold.observed(4, LEASE_MILLIS);
    assertFalse(hold.take(0, 10, LEASE_MILLIS));
    hold.observed(5, LEASE_MILLIS + 100);
    hold.observed(5, 2 * LEASE_MILLIS);
    assertFalse(hold.take(0, 10, 2 * LEASE_MILLIS));
    hold.observed(5, 2 * LEASE_MILLIS + 500);
    assertTrue(hold.take(0, 10, 2 * LEASE_MILLIS + 500));
  }

  @Test
  public void takesNothingWithoutOneFreshReadingOrOneRevision() {
    EngineHold hold = new EngineHold(LEASE_MILLIS, 7);
    hold.observed(4, 0);
    assertFalse(hold.take(0, 10, 10_000));
    hold.observed(4, 10_000);
    assertFalse(hold.take(0, 0, 10_000));
  }

  @Test
  public void holderWhoseCountMovedWithoutItGoesBackToWatching() {
    EngineHold hold = new EngineHold(LEASE_MILLIS, 7);
    hold.observed(4, 0);
    hold.observed(4, 4_000);
    assertTrue(hold.take(0, 10, 4_000));
    hold.accepted(4_100);
    hold.observed(6, 5_000);
    assertFalse(hold.isHolding());
  }

  @Test
  public void orderOfUnknownFateIsNoReasonToStepBack() {
    EngineHold hold = new EngineHold(LEASE_MILLIS, 7);
    hold.observed(4, 0);
    hold.observed(4, 4_000);
    hold.take(0, 10, 4_000);
    hold.unanswered();
    hold.observed(5, 5_000);
    assertTrue(hold.isHolding());
    assertEquals(hold.expectedOrders().getAsLong(), 5);
  }

  /** An engine that counts orders and keeps what it was sent. */
  private static final class CountingEngine {

    private final List<long[]> accepted = new ArrayList<>();
    private long orders;

    void order(EngineHold hold, int host, long nowMillis) {
      if (hold.expectedOrders().orElse(-1) == orders) {
        accepted.add(new long[] {nowMillis, host, hold.fence().getAsLong()});
        orders++;
        hold.accepted(nowMillis);
      } else {
        hold.observed(orders, nowMillis);
      }
    }
  }

  @Test
  public void keepsTurnsAndFencesOverPausesAndPartitionsForManySeeds() {
    for (int seed = 0; seed < SEEDS; seed++) {
      check(seed);
    }
  }

  /** Hosts that cannot hear each other pause, wake and take the engine as they may. */
  private static void check(int seed) {
    Random random = new Random(seed);
    CountingEngine engine = new CountingEngine();
    EngineHold[] holds = new EngineHold[HOSTS];
    long[] awakeMillis = new long[HOSTS];
    for (int host = 0; host < HOSTS; host++) {
      holds[host] = new EngineHold(LEASE_MILLIS, host);
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
      if (holds[host].isHolding()) {
        engine.order(holds[host], host, now);
      } else {
        holds[host].observed(engine.orders, now);
        holds[host].take(host, revision, now);
      }
    }
    long fence = 0;
    long[] former = {Long.MIN_VALUE / 2, -1, 0};
    for (long[] order : engine.accepted) {
      assertTrue(order[2] >= fence, "seed " + seed + ": the fence fell");
      boolean turn = former[1] >= 0 && former[1] != order[1];
      assertTrue(
          !turn || order[0] - former[0] >= LEASE_MILLIS, "seed " + seed + ": a turn in the lease");
      assertTrue(!turn || order[2] > fence, "seed " + seed + ": two hosts with one fence");
      fence = order[2];
      former = order;
    }
  }
}
