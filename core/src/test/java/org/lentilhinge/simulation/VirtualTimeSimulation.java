package org.lentilhinge.simulation;

import java.util.PriorityQueue;

/** Events in virtual time, in the order of their times and then of their scheduling. */
public abstract class VirtualTimeSimulation {

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowMillis;
  private long lastSequence;

  /** Creates a simulation without events. */
  protected VirtualTimeSimulation() {}

  private record Event(long atMillis, long sequence, Runnable task) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      return atMillis != other.atMillis
          ? Long.compare(atMillis, other.atMillis)
          : Long.compare(sequence, other.sequence);
    }
  }

  /**
   * Returns the current time.
   *
   * @return the time, in milliseconds
   */
  protected final long now() {
    return nowMillis;
  }

  /**
   * Schedules a task.
   *
   * @param delayMillis the time until it runs, in milliseconds
   * @param task the task
   */
  protected final void schedule(long delayMillis, Runnable task) {
    lastSequence++;
    events.add(new Event(nowMillis + delayMillis, lastSequence, task));
  }

  /**
   * Runs all events up to a time.
   *
   * @param endMillis the time, in milliseconds
   */
  protected final void runEventsUntil(long endMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
      Event event = events.remove();
      nowMillis = event.atMillis();
      event.task().run();
    }
    nowMillis = endMillis;
  }
}
