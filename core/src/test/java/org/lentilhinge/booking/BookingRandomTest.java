package org.lentilhinge.booking;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.lentilhinge.identity.HostId;
import org.testng.annotations.Test;

/** Tests under random failures that keys run at most once and that reported outcomes are true. */
public class BookingRandomTest {

  private static final int SEEDS = 600;
  private static final int STEPS = 200;

  private final Map<BookingState, Integer> outcomeCounts = new EnumMap<>(BookingState.class);

  @Test
  public void runsKeysAtMostOnceAndReportsTrueOutcomesUnderRandomFailures() {
    for (long seed = 0; seed < SEEDS; seed++) {
      try {
        run(new Random(seed));
      } catch (AssertionError failure) {
        throw new AssertionError("seed " + seed + ": " + failure.getMessage(), failure);
      }
    }
    // A simulation in which no outcome occurs often enough would not test anything.
    assertTrue(outcomeCounts.get(BookingState.RAN) > SEEDS, outcomeCounts.toString());
    assertTrue(outcomeCounts.get(BookingState.NOT_RUN) > SEEDS / 10, outcomeCounts.toString());
    assertTrue(outcomeCounts.get(BookingState.UNKNOWN) > SEEDS / 10, outcomeCounts.toString());
  }

  private void run(Random random) {
    BookingSimulation world = new BookingSimulation(random);
    if (random.nextInt(10) > 0) {
      // Most runs begin with owners whose tables are complete for their partitions.
      world.advance(BookingSimulation.LIMITS.quarantineMillis() + 500);
    }
    world.setNetwork(1 + random.nextInt(80), random.nextDouble() * 0.2, random.nextDouble() * 0.3);
    world.setServiceMode(BookingSimulation.ServiceMode.RANDOM);
    List<Key> keys = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      act(world, random, keys, step);
      world.advance(10 * (1 + random.nextInt(5)));
    }
    world.healAll();
    world.advance(BookingSimulation.LIMITS.callTimeoutMillis() + 1_000);
    assertEquals(world.pendingCount(), 0, "callers without an outcome");
    keys.forEach(key -> world.outcomes(key.value()).forEach(this::count));
  }

  private void count(BookingOutcome outcome) {
    outcomeCounts.merge(outcome.state(), 1, Integer::sum);
  }

  private static void act(BookingSimulation world, Random random, List<Key> keys, int step) {
    HostId host = BookingSimulation.HOSTS.get(random.nextInt(BookingSimulation.HOSTS.size()));
    SimulatedNode node = world.node(host);
    int choice = random.nextInt(100);
    if (choice < 40) {
      book(world, random, keys, host, step);
    } else if (choice < 43 && !node.isCrashed()) {
      world.crash(host);
    } else if (choice < 53 && node.isCrashed()) {
      world.boot(host);
    } else if (choice < 56 && !node.isCrashed() && !node.isPaused()) {
      world.pause(host);
    } else if (choice < 66 && node.isPaused()) {
      world.resume(host);
    } else if (choice < 69) {
      world.cut(host, BookingSimulation.HOSTS.get(random.nextInt(BookingSimulation.HOSTS.size())));
    } else if (choice < 71) {
      world.healAll();
    } else if (choice < 73 && !node.isCrashed()) {
      HostId successor =
          BookingSimulation.HOSTS.get(random.nextInt(BookingSimulation.HOSTS.size()));
      if (!successor.equals(host)) {
        world.leave(host, successor);
      }
    }
  }

  private static void book(
      BookingSimulation world, Random random, List<Key> keys, HostId host, int step) {
    if (world.node(host).isCrashed()) {
      return;
    }
    boolean repeat = !keys.isEmpty() && random.nextInt(3) > 0;
    if (!repeat) {
      boolean ticket = random.nextBoolean();
      String value = ticket ? world.node(host).issueTicket() : "key-" + step;
      keys.add(new Key(value, ticket, world.now()));
    }
    Key key = keys.get(Math.max(0, keys.size() - 1 - random.nextInt(4)));
    long age = world.now() - key.firstUsedAtMillis();
    if (key.ticket() || age < BookingSimulation.LIMITS.repeatWindowMillis()) {
      world.book(host, key.value(), "body");
    }
  }

  private record Key(String value, boolean ticket, long firstUsedAtMillis) {}
}
