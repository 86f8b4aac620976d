package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests which holders end when responses take too much memory together. */
public class ResponseMemoryTest {

  private static final int SEEDS = 500;

  @Test
  public void largestHolderEnds() {
    List<String> ended = new ArrayList<>();
    ResponseMemory memory = new ResponseMemory(100);
    ResponseMemory.Share small = memory.open(() -> ended.add("small"));
    ResponseMemory.Share large = memory.open(() -> ended.add("large"));
    small.resize(40);
    large.resize(60);
    assertEquals(ended, List.of());
    small.resize(41);
    assertEquals(ended, List.of("large"));
    assertEquals(memory.heldBytes(), 41);
    large.resize(70);
    assertEquals(memory.heldBytes(), 41);
  }

  @Test
  public void holderThatAloneIsTooLargeEnds() {
    List<String> ended = new ArrayList<>();
    ResponseMemory memory = new ResponseMemory(100);
    memory.open(() -> ended.add("small")).resize(100);
    memory.open(() -> ended.add("large")).resize(101);
    assertEquals(ended, List.of("large"));
  }

  @Test
  public void sumStaysWithinBoundAndOnlyLargestEnd() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      ResponseMemory memory = new ResponseMemory(1_000);
      Map<Integer, Long> held = new HashMap<>();
      Map<Integer, ResponseMemory.Share> shares = new HashMap<>();
      for (int step = 0; step < 200; step++) {
        int holder = random.nextInt(20);
        long bytes = random.nextInt(4) == 0 ? 0 : random.nextInt(300);
        ResponseMemory.Share share =
            shares.computeIfAbsent(
                holder,
                number ->
                    memory.open(
                        () -> {
                          long largest = held.values().stream().max(Long::compare).orElseThrow();
                          assertEquals(held.remove(number).longValue(), largest);
                          shares.remove(number);
                        }));
        held.put(holder, bytes);
        share.resize(bytes);
        long sum = held.values().stream().mapToLong(Long::longValue).sum();
        assertEquals(memory.heldBytes(), sum, "seed " + seed);
        assertEquals(sum <= 1_000, true, "seed " + seed);
      }
    }
  }
}
