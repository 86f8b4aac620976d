package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests that one host at a time sends orders to an engine, with increasing fencing tokens. */
public class EngineOwnershipTest {

  private static final long LEASE_MILLIS = 3_000;
  private static final int SEEDS = 2_000;
  private static final int HOSTS = 3;
  private static final long STEP_MILLIS = 100;
  private static final int STEPS = 300;

  @Test
  public void takesOverOnlyAfterTheCountWasUnchangedForTheLease() {
    EngineOwnership ownership = new EngineOwnership(LEASE_MILLIS, 7);
    ownership.recordOrderCount(4, 0, 0);
    ownership.recordOrderCount(4, LEASE_MILLIS, LEASE_MILLIS);
    assertFalse(ownership.tryTakeOver(0, 10, 0, LEASE_MILLIS));
    ownership.recordOrderCount(5, LEASE_MILLIS + 100, LEASE_MILLIS + 100);
    ownership.recordOrderCount(5, 2 * LEASE_MILLIS, 2 * LEASE_MILLIS);
    assertFalse(ownership.tryTakeOver(0, 10, 0, 2 * LEASE_MILLIS));
    ownership.recordOrderCount(5, 2 * LEASE_MILLIS + 500, 2 * LEASE_MILLIS + 500);
    assertTrue(ownership.tryTakeOver(0, 10, 0, 2 * LEASE_MILLIS + 500));
  }

  @Test
  public void takesOverOnlyWithFreshReadingAndRevision() {
    EngineOwnership ownership = new EngineOwnership(LEASE_MILLIS, 7);
    ownership.recordOrderCount(4, 0, 0);
    assertFalse(ownership.tryTakeOver(0, 10, 0, 10_000));
    ownership.recordOrderCount(4, 10_000, 10_000);
    assertFalse(ownership.tryTakeOver(0, 0, 0, 10_000));
  }

  @Test
  public void ownerRelinquishesWhenTheCountChangesWithoutItsOrder() {
    EngineOwnership ownership = new EngineOwnership(LEASE_MILLIS, 7);
    ownership.recordOrderCount(4, 0, 0);
    ownership.recordOrderCount(4, 4_000, 4_000);
    assertTrue(ownership.tryTakeOver(0, 10, 0, 4_000));
    ownership.recordAcceptedOrder(4_100);
    ownership.recordOrderCount(6, 5_000, 5_000);
    assertFalse(ownership.isOwner());
  }

  @Test
  public void unconfirmedOrderKeepsOwnership() {
    EngineOwnership ownership = new EngineOwnership(LEASE_MILLIS, 7);
    ownership.recordOrderCount(4, 0, 0);
    ownership.recordOrderCount(4, 4_000, 4_000);
    ownership.tryTakeOver(0, 10, 0, 4_000);
    ownership.recordUnconfirmedOrder(4_100);
    ownership.recordOrderCount(5, 5_000, 5_000);
    assertTrue(ownership.isOwner());
    assertEquals(ownership.expectedOrderCount().getAsLong(), 5);
  }

  /** An engine that counts the accepted orders and records them. */
  private static final class CountingEngine {

    private final List<long[]> accepted = new ArrayList<>();
    private long orders;

    void order(EngineOwnership ownership, int host, long nowMillis) {
      if (ownership.expectedOrderCount().orElse(-1) == orders) {
        accepted.add(new long[] {nowMillis, host, ownership.fencingToken().getAsLong()});
        orders++;
        ownership.recordAcceptedOrder(nowMillis);
      } else {
        ownership.recordOrderCount(orders, nowMillis, nowMillis);
      }
    }
  }

  @Test
  public void keepsLeaseAndFencingOverPausesAndPartitions() {
    for (int seed = 0; seed < SEEDS; seed++) {
      check(seed);
    }
  }

  /**
   * Simulates hosts that pause at random, take over the engine and have no connection to each
   * other.
   */
  private static void check(int seed) {
    Random random = new Random(seed);
    CountingEngine engine = new CountingEngine();
    EngineOwnership[] ownerships = new EngineOwnership[HOSTS];
    long[] pausedUntilMillis = new long[HOSTS];
    for (int host = 0; host < HOSTS; host++) {
      ownerships[host] = new EngineOwnership(LEASE_MILLIS, host);
    }
    long revision = 1;
    for (int step = 0; step < STEPS; step++) {
      long nowMillis = step * STEP_MILLIS;
      revision += random.nextInt(2);
      int host = random.nextInt(HOSTS);
      if (nowMillis < pausedUntilMillis[host]) {
        continue;
      }
      if (random.nextInt(40) == 0) {
        pausedUntilMillis[host] = nowMillis + 1_000 + random.nextInt(6_000);
      }
      if (ownerships[host].isOwner()) {
        engine.order(ownerships[host], host, nowMillis);
      } else {
        ownerships[host].recordOrderCount(engine.orders, nowMillis, nowMillis);
        ownerships[host].tryTakeOver(host, revision, 0, nowMillis);
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

  private static EngineOwnership owner(long acceptedOrders) {
    EngineOwnership ownership = new EngineOwnership(LEASE_MILLIS, 7);
    ownership.recordOrderCount(acceptedOrders, 0, 0);
    ownership.recordOrderCount(acceptedOrders, 4_000, 4_000);
    assertTrue(ownership.tryTakeOver(0, 10, 0, 4_000));
    return ownership;
  }

  // After a restart of an engine under its id two hosts took its lower count for their own.
  @Test
  public void ownerRelinquishesWhenTheCountFalls() {
    EngineOwnership ownership = owner(4);
    ownership.recordAcceptedOrder(4_100);
    ownership.recordOrderCount(4, 4_200, 4_200);
    assertTrue(ownership.isOwner());
    ownership.recordOrderCount(1, 5_000, 5_000);
    assertFalse(ownership.isOwner());
    assertFalse(ownership.tryTakeOver(0, 10, 0, 5_000));
  }

  @Test
  public void orderThatTheEngineNeedNotCountKeepsOwnership() {
    EngineOwnership ownership = owner(4);
    ownership.recordPossiblyAcceptedOrder(4_100);
    ownership.recordOrderCount(4, 5_000, 5_000);
    assertTrue(ownership.isOwner());
    assertEquals(ownership.expectedOrderCount().orElseThrow(), 4);
    ownership.recordOrderCount(3, 6_000, 6_000);
    assertFalse(ownership.isOwner());
  }
}
