package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests the counts of accepted orders that hosts exchange. */
public class OrderCountsTest {

  private final OrderCounts counts = new OrderCounts();

  @Test
  public void keepsEarliestReadingOfTheHighestCount() {
    counts.recordCount("e", 5, 1_000);
    counts.recordCount("e", 6, 2_000);
    counts.recordCount("e", 6, 1_500);
    counts.recordCount("e", 6, 3_000);
    counts.recordCount("e", 5, 500);
    assertEquals(counts.unchangedSince("e", 6), OptionalLong.of(1_500));
    assertEquals(counts.highestCount("e", 4_000).orElseThrow(), new OrderCount("e", 6, 2_500));
  }

  @Test
  public void unknownCountHasNoTime() {
    counts.recordCount("f", 5, 1_000);
    assertTrue(counts.unchangedSince("f", 4).isEmpty());
    assertTrue(counts.unchangedSince("f", 6).isEmpty());
    counts.removeEngine("f");
    assertTrue(counts.highestCount("f", 2_000).isEmpty());
  }
}
