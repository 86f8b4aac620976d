package org.lentilhinge.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled events in the order of their virtual time, without real delays. */
final class VirtualClock {

  private record Event(long atMillis, long sequence, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
  private long nowMillis;
  private long sequence;

  long nowMillis() {
    return nowMillis;
  }

  void scheduleAt(long millis, Runnable action) {
    events.add(new Event(Math.max(millis, nowMillis), sequence++, action));
  }

  void scheduleAfter(long delayMillis, Runnable action) {
    scheduleAt(nowMillis + delayMillis, action);
  }

  void scheduleEvery(long intervalMillis, Runnable action) {
    scheduleAfter(
        intervalMillis,
        () -> {
          action.run();
          scheduleEvery(intervalMillis, action);
        });
  }

  void runUntil(long endMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
    nowMillis = endMillis;
  }
}
