package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests that lines are complete, and that a blocked output does not block callers of the log. */
public class EventLogTest {

  /** An output that blocks until it is opened. */
  private static final class GatedStream extends OutputStream {

    private final CountDownLatch open = new CountDownLatch(1);
    private final CountDownLatch written = new CountDownLatch(1);
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    @Override
    public void write(int value) {
      try {
        open.await();
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
      }
      bytes.write(value);
    }

    @Override
    public void flush() {
      written.countDown();
    }
  }

  @Test
  public void blockedOutputDropsAndCountsLinesInsteadOfWaiting() throws InterruptedException {
    GatedStream gate = new GatedStream();
    EventLog log = new EventLog(new PrintStream(gate, false, StandardCharsets.UTF_8), () -> 5);
    int extra = 100;
    // The writer holds at most one batch of queued lines; all other lines beyond the bound are
    // dropped.
    for (int line = 0; line < 2 * EventLog.MAXIMUM_QUEUED_LINES + extra; line++) {
      log.line("test", "number", line);
    }
    assertTrue(log.dropped() >= extra, "dropped " + log.dropped());
    gate.open.countDown();
    assertTrue(gate.written.await(10, TimeUnit.SECONDS));
  }

  @Test
  public void valuesWithSpacesAndLineBreaksStayOnOneLine() throws InterruptedException {
    GatedStream gate = new GatedStream();
    gate.open.countDown();
    EventLog log = new EventLog(new PrintStream(gate, false, StandardCharsets.UTF_8), () -> 5);
    log.line("test", "why", "two words\nand \"more\"", "plain", 7);
    assertTrue(gate.written.await(10, TimeUnit.SECONDS));
    assertEquals(
        gate.bytes.toString(StandardCharsets.UTF_8),
        "t=5 event=test why=\"two words and 'more'\" plain=7\n");
  }
}
