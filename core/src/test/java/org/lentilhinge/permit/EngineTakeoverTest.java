package org.lentilhinge.permit;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Tests that no two hosts send orders to an engine within the lease, although they use each other's
 * order counts, which arrive late or never, read outdated reports of the engine, repeat orders that
 * do not increment the count, and pause.
 */
public class EngineTakeoverTest {

  private static final long LEASE_MILLIS = 3_000;

  /** The time for which an owner repeats a pending order, as the runtime does, in milliseconds. */
  private static final long REPEATED_MILLIS = 330;

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
    private final long[] awakeMillis = new long[HOSTS];
    private final List<Long> acceptedMillis = new ArrayList<>();
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
        long now = step * STEP_MILLIS;
        revision += random.nextInt(2);
        deliver(now);
        int host = random.nextInt(HOSTS);
        if (now >= awakeMillis[host]) {
          act(host, now);
        }
        if (random.nextInt(60) == 0) {
          awakeMillis[host] = now + 500 + random.nextInt(7_000);
        }
      }
    }

    private void deliver(long now) {
      for (Message message : List.copyOf(messages)) {
        if (message.atMillis() <= now && now >= awakeMillis[message.host()]) {
          messages.remove(message);
          OrderCount count = message.count();
          counts[message.host()].recordCount(
              INCARNATION, count.acceptedOrders(), now - count.unchangedMillis());
        }
      }
    }

    private void act(int host, long now) {
      EngineOwnership ownership = ownerships[host];
      if (ownership.isOwner()) {
        order(host, now);
        counts[host].recordCount(
            INCARNATION,
            ownership.expectedOrderCount().orElse(0),
            ownership.unchangedSinceMillis());
      } else {
        long reported = orders(now - random.nextInt(REPORT_AGE_MILLIS));
        ownership.recordOrderCount(reported, now);
        counts[host].recordCount(INCARNATION, reported, now);
        counts[host]
            .unchangedSince(INCARNATION, reported)
            .ifPresent(ownership::recordUnchangedSince);
        ownership.tryTakeOver(0, revision, now);
      }
      announce(host, now);
    }

    private void order(int host, long now) {
      EngineOwnership ownership = ownerships[host];
      if (random.nextInt(3) == 0) {
        if (now - ownership.unchangedSinceMillis() <= REPEATED_MILLIS) {
          sent.add(new SentOrder(now, host, ownership.fencingToken().orElseThrow()));
        }
      } else if (random.nextInt(8) != 0) {
        if (ownership.expectedOrderCount().orElse(-1) == acceptedMillis.size()) {
          acceptedMillis.add(now);
          sent.add(new SentOrder(now, host, ownership.fencingToken().orElseThrow()));
          ownership.recordAcceptedOrder(now);
        } else {
          ownership.recordOrderCount(acceptedMillis.size(), now);
        }
      }
    }

    private long orders(long asOfMillis) {
      return acceptedMillis.stream().filter(at -> at <= asOfMillis).count();
    }

    /** Sends a host's count to the others; each message is delayed or lost independently. */
    private void announce(int host, long now) {
      counts[host]
          .highestCount(INCARNATION, now)
          .ifPresent(
              count -> {
                for (int other = 0; other < HOSTS; other++) {
                  if (other != host && random.nextInt(4) != 0) {
                    messages.add(new Message(now + random.nextInt(2_000), other, count));
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
    // A simulation without a takeover tests nothing: on average, half of them must have one.
    assertTrue(takeovers >= SEEDS / 2, "takeovers: " + takeovers);
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
