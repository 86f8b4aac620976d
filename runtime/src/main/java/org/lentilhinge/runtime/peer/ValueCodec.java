package org.lentilhinge.runtime.peer;

import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/** Encodes and decodes the values of one type. */
interface ValueCodec {

  /**
   * Writes a value.
   *
   * @param value the value
   * @param packer receives the encoded value
   * @throws IOException if the packer fails
   */
  void write(Object value, MessagePacker packer) throws IOException;

  /**
   * Reads a value.
   *
   * @param source the encoded value
   * @return the value
   * @throws IOException if the source is not valid MessagePack
   * @throws MessageFormatException if the source does not contain a value of the type
   */
  Object read(ValueSource source) throws IOException, MessageFormatException;

  /**
   * Returns the default for a record component that an older sender omits.
   *
   * @return the default value, or empty if the type has none
   */
  default Optional<Object> defaultValue() {
    return Optional.empty();
  }
}
