package org.lentilhinge.runtime.forward;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Writes one structured line for each decision on a separate thread. At most {@link
 * #MAXIMUM_QUEUED_LINES} lines are queued; further lines are dropped and counted, so that the log
 * never blocks a request.
 */
public final class EventLog {

  /** The maximum number of queued lines. */
  public static final int MAXIMUM_QUEUED_LINES = 4_096;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final LongSupplier wallMillis;
  private final PrintStream out;

  /**
   * Creates a log and starts its writer thread.
   *
   * @param out receives the lines
   * @param wallMillis the wall clock, in milliseconds since 1970
   */
  public EventLog(PrintStream out, LongSupplier wallMillis) {
    this.out = out;
    this.wallMillis = wallMillis;
    Thread writer = new Thread(this::writeQueuedLines, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Queues a line, or drops the line if the queue is full.
   *
   * @param event the name of the event, a single word
   * @param fields alternating names and values
   */
  public void line(String event, Object... fields) {
    StringBuilder text = new StringBuilder(160);
    text.append("t=").append(wallMillis.getAsLong()).append(" event=").append(event);
    for (int index = 0; index + 1 < fields.length; index += 2) {
      text.append(' ').append(fields[index]).append('=').append(quoted(fields[index + 1]));
    }
    if (!queue.offer(text.toString())) {
      dropped.incrementAndGet();
    }
  }

  private static String quoted(Object value) {
    String text = String.valueOf(value);
    return text.indexOf(' ') < 0 && text.indexOf('\n') < 0
        ? text
        : '"' + text.replace('"', '\'').replace('\n', ' ') + '"';
  }

  /**
   * Returns the number of dropped lines.
   *
   * @return the number since the start
   */
  public long dropped() {
    return dropped.get();
  }

  private void writeQueuedLines() {
    try {
      while (true) {
        StringBuilder batch = new StringBuilder(queue.take()).append('\n');
        for (String next = queue.poll(); next != null; next = queue.poll()) {
          batch.append(next).append('\n');
        }
        out.print(batch);
        out.flush();
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
