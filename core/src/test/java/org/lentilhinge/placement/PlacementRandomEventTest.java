package org.lentilhinge.placement;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/**
 * Applies random events, including network partitions between hosts, to the owners in three zones.
 * Checks after every event that no engine exceeds its adapter slots, that no version in use is
 * evicted and that the store's budget is kept, and at the end that every gateway has received a
 * response.
 */
public class PlacementRandomEventTest {

  private static final int SEEDS = 2_000;
  private static final int EVENTS = 100;

  @Test
  public void keepsSlotsGrantsAndBudgetUnderRandomEvents() {
    LongStream.range(0, SEEDS).parallel().forEach(PlacementRandomEventTest::runEvents);
  }

  private static void runEvents(long seed) {
    VirtualOwners owners = new VirtualOwners(seed);
    for (int event = 0; event < EVENTS; event++) {
      owners.step();
      check(owners.violations(), seed, event);
    }
    owners.settle();
    check(owners.violations(), seed, EVENTS);
    check(owners.unanswered(), seed, EVENTS);
  }

  private static void check(List<String> errors, long seed, int event) {
    assertTrue(errors.isEmpty(), "seed " + seed + " after event " + event + ": " + errors);
  }
}
