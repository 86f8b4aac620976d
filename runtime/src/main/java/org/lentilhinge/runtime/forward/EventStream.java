package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Splits a stream of events (WHATWG server-sent events) at the ends of complete events. */
final class EventStream {

  /** The maximum length of an event, in bytes. No engine sends longer events. */
  private static final int MAXIMUM_EVENT_BYTES = 1_048_576;

  private final ByteBuf pending = Unpooled.buffer();
  private Optional<String> lastId = Optional.empty();
  private int identifiedEvents;

  /**
   * Adds received bytes and returns the events that are now complete; may return an empty buffer.
   */
  ByteBuf add(ByteBuf part) {
    pending.writeBytes(part, part.readerIndex(), part.readableBytes());
    int end = endOfLastEvent();
    if (end < 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf complete = Unpooled.copiedBuffer(pending.slice(pending.readerIndex(), end));
    pending.skipBytes(end);
    pending.discardReadBytes();
    recordEventIds(complete.toString(StandardCharsets.UTF_8));
    return complete;
  }

  private int endOfLastEvent() {
    String text = pending.toString(StandardCharsets.ISO_8859_1);
    int lineFeeds = text.lastIndexOf("\n\n");
    int crLfPairs = text.lastIndexOf("\r\n\r\n");
    int end = Math.max(lineFeeds < 0 ? -1 : lineFeeds + 2, crLfPairs < 0 ? -1 : crLfPairs + 4);
    return end;
  }

  private void recordEventIds(String completeEvents) {
    for (String line : completeEvents.split("\r?\n")) {
      if (line.startsWith("id:")) {
        lastId = Optional.of(line.substring("id:".length()).trim());
        identifiedEvents++;
      }
    }
  }

  /** Indicates whether the received data ends within an event. */
  boolean isMidEvent() {
    return pending.isReadable();
  }

  boolean isTooLong() {
    return pending.readableBytes() > MAXIMUM_EVENT_BYTES;
  }

  /** Returns the id of the last complete event. */
  Optional<String> lastId() {
    return lastId;
  }

  int identifiedEventCount() {
    return identifiedEvents;
  }

  /** Discards the incomplete event at the end of the data. */
  void discardIncompleteEvent() {
    pending.clear();
  }
}
