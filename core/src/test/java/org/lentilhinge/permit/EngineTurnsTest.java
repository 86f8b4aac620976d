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
public class EngineTurnsTest {

  private static final long LEASE_MILLIS = 3_000;

  /** The time for which an owner repeats a pending order, as the runtime does, in milliseconds. */
  private static final long REPEATED_MILLIS = 330;

  private static final int REPORT_AGE_MILLIS = 200;
  private static final int SEEDS = 2_000;
  private static final int HOSTS = 3;
  private static final int STEPS = 600;
  private static final long STEP_MILLIS = 50;
  private static final String LIFE = "e/1";

  private record Sent(long atMillis, int host, long fence) {}

  private record Message(long atMillis, int host, OrderCount count) {}

  /** A simulation of an engine and of the hosts that may send orders to it. */
  private static final class World {

    private final Random random;
    private final EngineHold[] ownerships = new EngineHold[HOSTS];
    private final OrderCounts[] counts = new OrderCounts[HOSTS];
    private final long[] awakeMillis = new long[HOSTS];
    private final List<Long> acceptedMillis = new ArrayList<>();
    private final List<Sent> sent = new ArrayList<>();
    private final List<Message> messages = new ArrayList<>();
    private long revision = 1;

    World(int seed) {
      random = new Random(seed);
      for (int host = 0; host < HOSTS; host++) {
        ownerships[host] = new EngineHold(LEASE_MILLIS, host);
        counts[host] = new OrderCounts();
      }
    }

    void play() {
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
          counts[message.host()].seen(LIFE, count.orders(), now - count.stillMillis());
        }
      }
    }

    private void act(int host, long now) {
      EngineHold ownership = ownerships[host];
      if (ownership.isHolding()) {
        order(host, now);
        counts[host].seen(LIFE, ownership.expectedOrders().orElse(0), ownership.stillSinceMillis());
      } else {
        long reported = orders(now - random.nextInt(REPORT_AGE_MILLIS));
        ownership.observed(reported, now);
        counts[host].seen(LIFE, reported, now);
        counts[host].since(LIFE, reported).ifPresent(ownership::stillSince);
        ownership.take(0, revision, now);
      }
      announce(host, now);
    }

    private void order(int host, long now) {
      EngineHold ownership = ownerships[host];
      if (random.nextInt(3) == 0) {
        if (now - ownership.stillSinceMillis() <= REPEATED_MILLIS) {
          sent.add(new Sent(now, host, ownership.fence().orElseThrow()));
        }
      } else if (random.nextInt(8) != 0) {
        if (ownership.expectedOrders().orElse(-1) == acceptedMillis.size()) {
          acceptedMillis.add(now);
          sent.add(new Sent(now, host, ownership.fence().orElseThrow()));
          ownership.accepted(now);
        } else {
          ownership.observed(acceptedMillis.size(), now);
        }
      }
    }

    private long orders(long asOfMillis) {
      return acceptedMillis.stream().filter(at -> at <= asOfMillis).count();
    }

    /** Sends a host's count to the others; each message is delayed or lost independently. */
    private void announce(int host, long now) {
      counts[host]
          .newest(LIFE, now)
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
  public void turnsKeepTheLeaseAndFencesRiseForManySeeds() {
    int takeovers = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      World simulation = new World(seed);
      simulation.play();
      takeovers += check(seed, simulation.sent);
    }
    // A simulation without a takeover tests nothing: on average, half of them must have one.
    assertTrue(takeovers >= SEEDS / 2, "takeovers: " + takeovers);
  }

  private static int check(int seed, List<Sent> sent) {
    int takeovers = 0;
    for (int index = 1; index < sent.size(); index++) {
      Sent former = sent.get(index - 1);
      Sent next = sent.get(index);
      if (former.host() != next.host()) {
        takeovers++;
        long gap = next.atMillis() - former.atMillis();
        assertTrue(gap >= LEASE_MILLIS, "seed " + seed + ": a takeover after " + gap + " ms");
        assertTrue(
            next.fence() > former.fence(), "seed " + seed + ": the fencing token did not increase");
      }
    }
    return takeovers;
  }
}
