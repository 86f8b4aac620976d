package org.lentilhinge.runtime.forward;

import java.util.PriorityQueue;

/** Events in virtual time, in the order of their times and then of their scheduling. */
abstract class VirtualTimeSimulation {

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowMillis;
  private long lastSequence;

  private record Event(long atMillis, long sequence, Runnable task) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      return atMillis != other.atMillis
          ? Long.compare(atMillis, other.atMillis)
          : Long.compare(sequence, other.sequence);
    }
  }

  protected final long now() {
    return nowMillis;
  }

  protected final void schedule(long delayMillis, Runnable task) {
    lastSequence++;
    events.add(new Event(nowMillis + delayMillis, lastSequence, task));
  }

  protected final void runEventsUntil(long endMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
      Event event = events.remove();
      nowMillis = event.atMillis();
      event.task().run();
    }
    nowMillis = endMillis;
  }
}
