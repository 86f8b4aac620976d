package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the division of a stream into whole events. */
public class EventStreamTest {

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  @DataProvider
  public static Object[][] lineEnds() {
    return new Object[][] {{"\n"}, {"\r\n"}, {"\r"}};
  }

  @Test(dataProvider = "lineEnds")
  public void eventsAreWholeHoweverTheyAreDivided(String lineEnd) {
    String event = "id: 7" + lineEnd + "data: a" + lineEnd + lineEnd;
    EventStream stream = new EventStream();
    StringBuilder released = new StringBuilder();
    for (int index = 0; index < event.length(); index++) {
      ByteBuf complete = stream.add(bytes(event.substring(index, index + 1)));
      released.append(complete.toString(StandardCharsets.ISO_8859_1));
    }
    assertEquals(released.toString(), event);
    assertEquals(stream.lastId(), Optional.of("7"));
    assertFalse(stream.isMidEvent());
  }

  @Test
  public void longEventInSmallPartsIsScannedOnce() {
    EventStream stream = new EventStream();
    ByteBuf part = bytes("x".repeat(16));
    long start = System.nanoTime();
    while (!stream.isTooLong()) {
      stream.add(part);
    }
    long seconds = (System.nanoTime() - start) / 1_000_000_000L;
    // A scan of all pending bytes for each part would read 34 GB.
    assertTrue(seconds < 5, seconds + " s");
  }
}
