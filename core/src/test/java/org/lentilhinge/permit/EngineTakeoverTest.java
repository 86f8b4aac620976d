package org.lentilhinge.permit;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Tests that no two hosts send orders to an engine within the lease. The hosts pause, read outdated
 * reports of the engine, repeat orders that do not increment the count, and use each other's order
 * counts, which arrive late or never.
 */
public class EngineTakeoverTest {

  private static final long LEASE_MILLIS = 3_000;

  /** The time for which an owner repeats a pending order, as the runtime does, in milliseconds. */
  private static final long REPEAT_MILLIS = 330;

  private static final int REPORT_AGE_MILLIS = 200;
  private static final int SEEDS = 2_000;
  private static final int HOSTS = 3;
  private static final int STEPS = 600;
  private static final long STEP_MILLIS = 50;
  private static final String INCARNATION = "e/1";

  private record SentOrder(long atMillis, int host, long fencingToken) {}

  private record Message(long atMillis, int host, OrderCount count) {}

  /** A simulation of an engine and of the hosts that may send orders to it. */
  private static final class Simulation {

    private final Random random;
    private final EngineOwnership[] ownerships = new EngineOwnership[HOSTS];
    private final OrderCounts[] counts = new OrderCounts[HOSTS];
    private final long[] pausedUntilMillis = new long[HOSTS];
    private final List<Long> acceptedAtMillis = new ArrayList<>();
    private final List<SentOrder> sent = new ArrayList<>();
    private final List<Message> messages = new ArrayList<>();
    private long revision = 1;

    Simulation(int seed) {
      random = new Random(seed);
      for (int host = 0; host < HOSTS; host++) {
        ownerships[host] = new EngineOwnership(LEASE_MILLIS, host);
        counts[host] = new OrderCounts();
      }
    }

    void run() {
      for (int step = 0; step < STEPS; step++) {
        long nowMillis = step * STEP_MILLIS;
        revision += random.nextInt(2);
        deliver(nowMillis);
        int host = random.nextInt(HOSTS);
        if (nowMillis >= pausedUntilMillis[host]) {
          act(host, nowMillis);
        }
        if (random.nextInt(60) == 0) {
          pausedUntilMillis[host] = nowMillis + 500 + random.nextInt(7_000);
        }
      }
    }

    private void deliver(long nowMillis) {
      for (Message message : List.copyOf(messages)) {
        if (message.atMillis() <= nowMillis && nowMillis >= pausedUntilMillis[message.host()]) {
          messages.remove(message);
          OrderCount count = message.count();
          counts[message.host()].recordCount(
              INCARNATION, count.acceptedOrders(), nowMillis - count.unchangedMillis());
        }
      }
    }

    private void act(int host, long nowMillis) {
      EngineOwnership ownership = ownerships[host];
      if (ownership.isOwner()) {
        order(host, nowMillis);
        counts[host].recordCount(
            INCARNATION,
            ownership.expectedOrderCount().orElse(0),
            ownership.unchangedSinceMillis());
      } else {
        long reported = orders(nowMillis - random.nextInt(REPORT_AGE_MILLIS));
        ownership.recordOrderCount(reported, nowMillis, nowMillis);
        counts[host].recordCount(INCARNATION, reported, nowMillis);
        counts[host]
            .unchangedSince(INCARNATION, reported)
            .ifPresent(ownership::recordUnchangedSince);
        ownership.tryTakeOver(0, revision, 0, nowMillis);
      }
      announce(host, nowMillis);
    }

    private void order(int host, long nowMillis) {
      EngineOwnership ownership = ownerships[host];
      if (random.nextInt(3) == 0) {
        if (nowMillis - ownership.unchangedSinceMillis() <= REPEAT_MILLIS) {
          sent.add(new SentOrder(nowMillis, host, ownership.fencingToken().orElseThrow()));
        }
      } else if (random.nextInt(8) != 0) {
        if (ownership.expectedOrderCount().orElse(-1) == acceptedAtMillis.size()) {
          acceptedAtMillis.add(nowMillis);
          sent.add(new SentOrder(nowMillis, host, ownership.fencingToken().orElseThrow()));
          ownership.recordAcceptedOrder(nowMillis);
        } else {
          ownership.recordOrderCount(acceptedAtMillis.size(), nowMillis, nowMillis);
        }
      }
    }

    private long orders(long asOfMillis) {
      return acceptedAtMillis.stream().filter(acceptedAt -> acceptedAt <= asOfMillis).count();
    }

    /** Sends a host's count to the others; each message is delayed or lost independently. */
    private void announce(int host, long nowMillis) {
      counts[host]
          .highestCount(INCARNATION, nowMillis)
          .ifPresent(
              count -> {
                for (int other = 0; other < HOSTS; other++) {
                  if (other != host && random.nextInt(4) != 0) {
                    messages.add(new Message(nowMillis + random.nextInt(2_000), other, count));
                  }
                }
              });
    }
  }

  @Test
  public void takeoversKeepTheLeaseAndIncreaseFencingTokens() {
    int takeovers = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      Simulation simulation = new Simulation(seed);
      simulation.run();
      takeovers += check(seed, simulation.sent);
    }
    // A simulation without a takeover checks nothing, so at least one takeover per two simulations
    // is required.
    assertTrue(takeovers >= SEEDS / 2, "too few takeovers in all simulations: " + takeovers);
  }

  private static int check(int seed, List<SentOrder> sent) {
    int takeovers = 0;
    for (int index = 1; index < sent.size(); index++) {
      SentOrder former = sent.get(index - 1);
      SentOrder next = sent.get(index);
      if (former.host() != next.host()) {
        takeovers++;
        long gap = next.atMillis() - former.atMillis();
        assertTrue(gap >= LEASE_MILLIS, "seed " + seed + ": a takeover after " + gap + " ms");
        assertTrue(
            next.fencingToken() > former.fencingToken(),
            "seed " + seed + ": the fencing token did not increase");
      }
    }
    return takeovers;
  }
}
