package org.lentilhinge.runtime.forward;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Writes one structured line for each decision, on a thread of its own. At most {@link
 * #MAXIMUM_WAITING} lines wait; further ones are dropped and counted, so that the log never holds a
 * request up.
 */
public final class EventLog {

  /** The largest number of lines that wait for the writer. */
  public static final int MAXIMUM_WAITING = 4_096;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAXIMUM_WAITING);
  private final AtomicLong dropped = new AtomicLong();
  private final LongSupplier wallMillis;
  private final PrintStream out;

  /**
   * Starts a log.
   *
   * @param out takes the lines
   * @param wallMillis the wall clock, in milliseconds since 1970
   */
  public EventLog(PrintStream out, LongSupplier wallMillis) {
    this.out = out;
    this.wallMillis = wallMillis;
    Thread writer = new Thread(this::write, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Writes a line.
   *
   * @param event what happened, one word
   * @param fields names and values by turns
   */
  public void line(String event, Object... fields) {
    StringBuilder text = new StringBuilder(160);
    text.append("t=").append(wallMillis.getAsLong()).append(" event=").append(event);
    for (int index = 0; index + 1 < fields.length; index += 2) {
      text.append(' ').append(fields[index]).append('=').append(word(fields[index + 1]));
    }
    if (!lines.offer(text.toString())) {
      dropped.incrementAndGet();
    }
  }

  private static String word(Object value) {
    String text = String.valueOf(value);
    return text.indexOf(' ') < 0 && text.indexOf('\n') < 0
        ? text
        : '"' + text.replace('"', '\'').replace('\n', ' ') + '"';
  }

  /**
   * Counts the lines that were dropped.
   *
   * @return the number since the start
   */
  public long dropped() {
    return dropped.get();
  }

  private void write() {
    try {
      while (true) {
        StringBuilder batch = new StringBuilder(lines.take()).append('\n');
        for (String next = lines.poll(); next != null; next = lines.poll()) {
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
