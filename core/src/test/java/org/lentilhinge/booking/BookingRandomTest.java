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

  private final Map<BookingState, Integer> told = new EnumMap<>(BookingState.class);

  @Test
  public void keepsItsPromisesUnderRandomFailures() {
    for (long seed = 0; seed < SEEDS; seed++) {
      try {
        run(new Random(seed));
      } catch (AssertionError failure) {
        throw new AssertionError("seed " + seed + ": " + failure.getMessage(), failure);
      }
    }
    // A simulation in which no outcome occurs often enough would not test anything.
    assertTrue(told.get(BookingState.RAN) > SEEDS, told.toString());
    assertTrue(told.get(BookingState.NOT_RUN) > SEEDS / 10, told.toString());
    assertTrue(told.get(BookingState.UNKNOWN) > SEEDS / 10, told.toString());
  }

  private void run(Random random) {
    BookingWorld world = new BookingWorld(random);
    if (random.nextInt(10) > 0) {
      // Most runs begin with owners whose tables are complete for their partitions.
      world.advance(BookingWorld.LIMITS.quarantineMillis() + 500);
    }
    world.networkIs(1 + random.nextInt(80), random.nextDouble() * 0.2, random.nextDouble() * 0.3);
    world.serviceIs(BookingWorld.ServiceMode.RANDOM);
    List<Key> keys = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      act(world, random, keys, step);
      world.advance(10 * (1 + random.nextInt(5)));
    }
    world.healAll();
    world.advance(BookingWorld.LIMITS.callMillis() + 1_000);
    assertEquals(world.unanswered(), 0, "callers without an outcome");
    keys.forEach(key -> world.outcomes(key.value()).forEach(this::count));
  }

  private void count(BookingOutcome outcome) {
    told.merge(outcome.state(), 1, Integer::sum);
  }

  private static void act(BookingWorld world, Random random, List<Key> keys, int step) {
    HostId host = BookingWorld.HOSTS.get(random.nextInt(BookingWorld.HOSTS.size()));
    WorldNode node = world.node(host);
    int choice = random.nextInt(100);
    if (choice < 40) {
      book(world, random, keys, host, step);
    } else if (choice < 43 && !node.isDead()) {
      world.crash(host);
    } else if (choice < 53 && node.isDead()) {
      world.boot(host);
    } else if (choice < 56 && !node.isDead() && !node.isPaused()) {
      world.pause(host);
    } else if (choice < 66 && node.isPaused()) {
      world.wake(host);
    } else if (choice < 69) {
      world.cut(host, BookingWorld.HOSTS.get(random.nextInt(BookingWorld.HOSTS.size())));
    } else if (choice < 71) {
      world.healAll();
    } else if (choice < 73 && !node.isDead()) {
      HostId successor = BookingWorld.HOSTS.get(random.nextInt(BookingWorld.HOSTS.size()));
      if (!successor.equals(host)) {
        world.leave(host, successor);
      }
    }
  }

  private static void book(
      BookingWorld world, Random random, List<Key> keys, HostId host, int step) {
    if (world.node(host).isDead()) {
      return;
    }
    boolean repeat = !keys.isEmpty() && random.nextInt(3) > 0;
    if (!repeat) {
      boolean ticket = random.nextBoolean();
      String value = ticket ? world.node(host).ticket() : "key-" + step;
      keys.add(new Key(value, ticket, world.now()));
    }
    Key key = keys.get(Math.max(0, keys.size() - 1 - random.nextInt(4)));
    long age = world.now() - key.firstMillis();
    if (key.ticket() || age < BookingWorld.LIMITS.repeatMillis()) {
      world.book(host, key.value(), "body");
    }
  }

  private record Key(String value, boolean ticket, long firstMillis) {}
}
