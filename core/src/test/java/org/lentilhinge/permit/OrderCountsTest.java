package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests the counts of accepted orders that hosts exchange. */
public class OrderCountsTest {

  private final OrderCounts counts = new OrderCounts();

  @Test
  public void earliestSightOfTheHighestCountCounts() {
    counts.seen("e", 5, 1_000);
    counts.seen("e", 6, 2_000);
    counts.seen("e", 6, 1_500);
    counts.seen("e", 6, 3_000);
    counts.seen("e", 5, 500);
    assertEquals(counts.since("e", 6), OptionalLong.of(1_500));
    assertEquals(counts.newest("e", 4_000).orElseThrow(), new OrderCount("e", 6, 2_500));
  }

  @Test
  public void countThatNobodySawTellsNothing() {
    counts.seen("f", 5, 1_000);
    assertTrue(counts.since("f", 4).isEmpty());
    assertTrue(counts.since("f", 6).isEmpty());
    counts.forget("f");
    assertTrue(counts.newest("f", 2_000).isEmpty());
  }
}
