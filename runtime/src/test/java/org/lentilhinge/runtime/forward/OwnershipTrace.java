package org.lentilhinge.runtime.forward;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The logs of simulated hosts, in the order of their virtual times. */
final class OwnershipTrace {

  /** The events of engines, of their owners and of hosts that join and leave. */
  static final List<String> OWNERSHIP_EVENTS =
      List.of(
          "event=hold-",
          "event=claim-heard",
          "event=engine-",
          "event=order",
          "event=host-",
          "event=paused");

  private static final EventLog NO_LOG =
      new EventLog(new PrintStream(PrintStream.nullOutputStream()), () -> 0);

  private static final String END = "event=trace-end";

  private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
  private final List<EventLog> logs = new ArrayList<>();
  private LongSupplier clock = () -> 0;
  private volatile CountDownLatch ended = new CountDownLatch(0);

  /** Sets the clock of all lines that follow. */
  void setClock(LongSupplier virtualMillis) {
    clock = virtualMillis;
  }

  /** Returns a log that writes nothing. */
  static EventLog none() {
    return NO_LOG;
  }

  EventLog logOf(String host) {
    EventLog log =
        new EventLog(
            new PrintStream(
                new OutputStream() {
                  private final StringBuilder partial = new StringBuilder();

                  @Override
                  public void write(int value) {
                    if (value == '\n') {
                      add(host, partial.toString());
                      partial.setLength(0);
                    } else {
                      partial.append((char) value);
                    }
                  }
                },
                true),
            () -> clock.getAsLong());
    logs.add(log);
    return log;
  }

  private void add(String host, String line) {
    if (line.contains(END)) {
      ended.countDown();
    } else {
      lines.add(line.substring(2).replaceFirst(" ", " " + host + " "));
    }
  }

  /** Returns the lines so far that contain one of some texts. */
  List<String> lines(List<String> texts) {
    ended = new CountDownLatch(logs.size());
    logs.forEach(log -> log.line("trace-end"));
    try {
      ended.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    synchronized (lines) {
      return lines.stream()
          .filter(line -> texts.stream().anyMatch(line::contains))
          .sorted(
              Comparator.comparingLong(
                  line -> Long.parseLong(line.substring(0, line.indexOf(' ')))))
          .toList();
    }
  }
}
