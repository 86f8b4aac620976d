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
    // Each outcome must occur often enough, because the test would otherwise check nothing.
    assertTrue(outcomeCounts.get(BookingState.RAN) > SEEDS, outcomeCounts.toString());
    assertTrue(outcomeCounts.get(BookingState.NOT_RUN) > SEEDS / 10, outcomeCounts.toString());
    assertTrue(outcomeCounts.get(BookingState.UNKNOWN) > SEEDS / 10, outcomeCounts.toString());
  }

  private void run(Random random) {
    BookingSimulation simulation = new BookingSimulation(random);
    if (random.nextInt(10) > 0) {
      // Most runs begin with owners whose tables are complete for their partitions.
      simulation.advance(BookingSimulation.LIMITS.quarantineMillis() + 500);
    }
    simulation.setNetwork(
        1 + random.nextInt(80), random.nextDouble() * 0.2, random.nextDouble() * 0.3);
    simulation.setServiceMode(BookingSimulation.ServiceMode.RANDOM);
    List<Key> keys = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      act(simulation, random, keys, step);
      simulation.advance(10 * (1 + random.nextInt(5)));
    }
    simulation.healAll();
    simulation.advance(BookingSimulation.LIMITS.callTimeoutMillis() + 1_000);
    assertEquals(simulation.pendingCount(), 0, "callers without an outcome");
    keys.forEach(key -> simulation.outcomes(key.value()).forEach(this::count));
  }

  private void count(BookingOutcome outcome) {
    outcomeCounts.merge(outcome.state(), 1, Integer::sum);
  }

  private static void act(BookingSimulation simulation, Random random, List<Key> keys, int step) {
    HostId host = BookingSimulation.HOSTS.get(random.nextInt(BookingSimulation.HOSTS.size()));
    SimulatedNode node = simulation.node(host);
    int choice = random.nextInt(100);
    if (choice < 40) {
      book(simulation, random, keys, host, step);
    } else if (choice < 43 && !node.isCrashed()) {
      simulation.crash(host);
    } else if (choice < 53 && node.isCrashed()) {
      simulation.start(host);
    } else if (choice < 56 && !node.isCrashed() && !node.isPaused()) {
      simulation.pause(host);
    } else if (choice < 66 && node.isPaused()) {
      simulation.resume(host);
    } else if (choice < 69) {
      simulation.cut(
          host, BookingSimulation.HOSTS.get(random.nextInt(BookingSimulation.HOSTS.size())));
    } else if (choice < 71) {
      simulation.healAll();
    } else if (choice < 73 && !node.isCrashed()) {
      HostId successor =
          BookingSimulation.HOSTS.get(random.nextInt(BookingSimulation.HOSTS.size()));
      if (!successor.equals(host)) {
        simulation.leave(host, successor);
      }
    }
  }

  private static void book(
      BookingSimulation simulation, Random random, List<Key> keys, HostId host, int step) {
    if (simulation.node(host).isCrashed()) {
      return;
    }
    boolean repeat = !keys.isEmpty() && random.nextInt(3) > 0;
    if (!repeat) {
      boolean ticket = random.nextBoolean();
      String value = ticket ? simulation.node(host).issueTicket() : "key-" + step;
      keys.add(new Key(value, ticket, simulation.now()));
    }
    Key key = keys.get(Math.max(0, keys.size() - 1 - random.nextInt(4)));
    long ageMillis = simulation.now() - key.firstUsedAtMillis();
    if (key.ticket() || ageMillis < BookingSimulation.LIMITS.repeatWindowMillis()) {
      simulation.book(host, key.value(), "body");
    }
  }

  private record Key(String value, boolean ticket, long firstUsedAtMillis) {}
}
