package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** Splits a stream of events (WHATWG server-sent events) at the ends of complete events. */
final class EventStream {

  /** The maximum length of an event, in bytes. No engine sends longer events. */
  private static final int MAXIMUM_EVENT_BYTES = 1_048_576;

  /** The ends of an event: a blank line after a line that ends with LF, CR LF or CR. */
  private static final List<String> BLANK_LINES = List.of("\n\n", "\r\n\r\n", "\r\r");

  private static final int LONGEST_END_BYTES = 4;

  private final ByteBuf pending = Unpooled.buffer();
  private Optional<String> lastId = Optional.empty();

  /** The length of the part of the pending data that holds no end of an event. */
  private int scannedBytes;

  /**
   * Adds received bytes and returns the events that are now complete; may return an empty buffer.
   */
  ByteBuf add(ByteBuf part) {
    pending.writeBytes(part, part.readerIndex(), part.readableBytes());
    int end = endOfLastEvent();
    if (end < 0) {
      scannedBytes = Math.max(0, pending.readableBytes() - LONGEST_END_BYTES + 1);
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf complete = Unpooled.copiedBuffer(pending.slice(pending.readerIndex(), end));
    pending.skipBytes(end);
    pending.discardReadBytes();
    scannedBytes = 0;
    recordEventIds(complete.toString(StandardCharsets.UTF_8));
    return complete;
  }

  /** Returns the end of the last complete event, or -1; scans only what was not scanned before. */
  private int endOfLastEvent() {
    int start = pending.readerIndex() + scannedBytes;
    String text =
        pending.toString(start, pending.writerIndex() - start, StandardCharsets.ISO_8859_1);
    int end = -1;
    for (String blankLine : BLANK_LINES) {
      int found = text.lastIndexOf(blankLine);
      end = Math.max(end, found < 0 ? -1 : scannedBytes + found + blankLine.length());
    }
    return end;
  }

  private void recordEventIds(String completeEvents) {
    for (String line : completeEvents.split("\r\n|\n|\r")) {
      if (line.startsWith("id:")) {
        lastId = Optional.of(line.substring("id:".length()).trim());
      }
    }
  }

  /** Indicates whether the received data ends within an event. */
  boolean isMidEvent() {
    return pending.isReadable();
  }

  /** Returns the number of bytes that are allocated for what is not complete. */
  int heldBytes() {
    return pending.capacity();
  }

  boolean isTooLong() {
    return pending.readableBytes() > MAXIMUM_EVENT_BYTES;
  }

  /** Returns the id of the last complete event. */
  Optional<String> lastId() {
    return lastId;
  }
}
