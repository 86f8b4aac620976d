package org.lentilhinge.host;

import java.util.PriorityQueue;

/** Runs actions in the order of their virtual times. */
final class VirtualTime {

  private record Action(long atMillis, long sequence, Runnable run) implements Comparable<Action> {

    @Override
    public int compareTo(Action other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Action> actions = new PriorityQueue<>();
  private long nowMillis;
  private long sequence;

  long nowMillis() {
    return nowMillis;
  }

  void after(long delayMillis, Runnable action) {
    actions.add(new Action(nowMillis + delayMillis, sequence++, action));
  }

  /**
   * Runs all actions that are due by the end, including those that they schedule, and the check
   * after each of them.
   */
  void runUntil(long endMillis, Runnable check) {
    while (!actions.isEmpty() && actions.peek().atMillis() <= endMillis) {
      Action action = actions.poll();
      nowMillis = action.atMillis();
      action.run().run();
      check.run();
    }
    nowMillis = endMillis;
  }
}
