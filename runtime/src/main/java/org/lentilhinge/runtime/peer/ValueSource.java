package org.lentilhinge.runtime.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads MessagePack values from a frame. A declared length that exceeds the rest of the frame is
 * rejected before memory is allocated for it.
 */
final class ValueSource {

  private final MessageUnpacker unpacker;
  private final int length;

  ValueSource(byte[] bytes, int offset, int length) {
    this.length = length;
    unpacker = MessagePack.newDefaultUnpacker(bytes, offset, length);
  }

  MessageUnpacker unpacker() {
    return unpacker;
  }

  boolean isAtEnd() throws IOException {
    return remaining() == 0;
  }

  int arrayHeader() throws IOException, MessageFormatException {
    return checkedLength(unpacker.unpackArrayHeader());
  }

  int mapHeader() throws IOException, MessageFormatException {
    return checkedLength(unpacker.unpackMapHeader());
  }

  byte[] bytes() throws IOException, MessageFormatException {
    return unpacker.readPayload(checkedLength(unpacker.unpackBinaryHeader()));
  }

  String text() throws IOException, MessageFormatException {
    byte[] bytes = unpacker.readPayload(checkedLength(unpacker.unpackRawStringHeader()));
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private int checkedLength(int declared) throws MessageFormatException {
    if (declared < 0 || declared > remaining()) {
      throw new MessageFormatException(
          "length " + declared + " at byte " + unpacker.getTotalReadBytes() + " exceeds the frame");
    }
    return declared;
  }

  private long remaining() {
    return length - unpacker.getTotalReadBytes();
  }
}
