package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Splits a stream of events (WHATWG server-sent events) into whole events. */
final class EventStream {

  /** An event longer than this is no event of an engine, in bytes. */
  private static final int MAXIMUM_EVENT_BYTES = 1_048_576;

  private final ByteBuf pending = Unpooled.buffer();
  private Optional<String> lastId = Optional.empty();
  private int events;

  /** Adds bytes and takes out all events that are whole by now; empty if there are none. */
  ByteBuf add(ByteBuf part) {
    pending.writeBytes(part, part.readerIndex(), part.readableBytes());
    int end = endOfLastEvent();
    if (end < 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf whole = Unpooled.copiedBuffer(pending.slice(pending.readerIndex(), end));
    pending.skipBytes(end);
    pending.discardReadBytes();
    note(whole.toString(StandardCharsets.UTF_8));
    return whole;
  }

  private int endOfLastEvent() {
    String text = pending.toString(StandardCharsets.ISO_8859_1);
    int bare = text.lastIndexOf("\n\n");
    int returned = text.lastIndexOf("\r\n\r\n");
    int end = Math.max(bare < 0 ? -1 : bare + 2, returned < 0 ? -1 : returned + 4);
    return end;
  }

  private void note(String whole) {
    for (String line : whole.split("\r?\n")) {
      if (line.startsWith("id:")) {
        lastId = Optional.of(line.substring("id:".length()).trim());
        events++;
      }
    }
  }

  /** Tells whether a part of an event is still waiting for its rest. */
  boolean isMidEvent() {
    return pending.isReadable();
  }

  boolean isTooLong() {
    return pending.readableBytes() > MAXIMUM_EVENT_BYTES;
  }

  /** Gets the id of the last whole event. */
  Optional<String> lastId() {
    return lastId;
  }

  int events() {
    return events;
  }

  /** Drops the part of an event that will never be whole. */
  void dropRest() {
    pending.clear();
  }
}
