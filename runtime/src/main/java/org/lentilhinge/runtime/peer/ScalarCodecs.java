package org.lentilhinge.runtime.peer;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.msgpack.core.MessagePacker;

/** The codecs of scalar types. */
final class ScalarCodecs {

  private static final Map<Class<?>, ValueCodec> CODECS =
      Map.ofEntries(
          Map.entry(
              int.class,
              of(
                  (value, packer) -> packer.packInt((Integer) value),
                  source -> source.unpacker().unpackInt(),
                  0)),
          Map.entry(
              long.class,
              of(
                  (value, packer) -> packer.packLong((Long) value),
                  source -> source.unpacker().unpackLong(),
                  0L)),
          Map.entry(
              double.class,
              of(
                  (value, packer) -> packer.packDouble((Double) value),
                  source -> source.unpacker().unpackDouble(),
                  0.0)),
          Map.entry(
              float.class,
              of(
                  (value, packer) -> packer.packFloat((Float) value),
                  source -> source.unpacker().unpackFloat(),
                  0f)),
          Map.entry(
              short.class,
              of(
                  (value, packer) -> packer.packShort((Short) value),
                  source -> source.unpacker().unpackShort(),
                  (short) 0)),
          Map.entry(
              byte.class,
              of(
                  (value, packer) -> packer.packByte((Byte) value),
                  source -> source.unpacker().unpackByte(),
                  (byte) 0)),
          Map.entry(
              boolean.class,
              of(
                  (value, packer) -> packer.packBoolean((Boolean) value),
                  source -> source.unpacker().unpackBoolean(),
                  false)),
          Map.entry(
              String.class,
              of((value, packer) -> packer.packString((String) value), ValueSource::text, null)),
          Map.entry(byte[].class, of(ScalarCodecs::packBytes, ValueSource::bytes, null)),
          Map.entry(
              OptionalInt.class,
              of(ScalarCodecs::packOptionalInt, ScalarCodecs::optionalInt, OptionalInt.empty())),
          Map.entry(
              OptionalLong.class,
              of(
                  ScalarCodecs::packOptionalLong,
                  ScalarCodecs::optionalLong,
                  OptionalLong.empty())));

  private static final Map<Class<?>, Class<?>> PRIMITIVES =
      Map.of(
          Integer.class, int.class,
          Long.class, long.class,
          Double.class, double.class,
          Float.class, float.class,
          Short.class, short.class,
          Byte.class, byte.class,
          Boolean.class, boolean.class);

  private ScalarCodecs() {}

  static Optional<ValueCodec> find(Class<?> type) {
    return Optional.ofNullable(CODECS.get(PRIMITIVES.getOrDefault(type, type)));
  }

  private static void packBytes(Object value, MessagePacker packer) throws IOException {
    byte[] bytes = (byte[]) value;
    packer.packBinaryHeader(bytes.length).writePayload(bytes);
  }

  private static void packOptionalInt(Object value, MessagePacker packer) throws IOException {
    OptionalInt optional = (OptionalInt) value;
    if (optional.isPresent()) {
      packer.packInt(optional.getAsInt());
    } else {
      packer.packNil();
    }
  }

  private static Object optionalInt(ValueSource source) throws IOException {
    return source.unpacker().tryUnpackNil()
        ? OptionalInt.empty()
        : OptionalInt.of(source.unpacker().unpackInt());
  }

  private static void packOptionalLong(Object value, MessagePacker packer) throws IOException {
    OptionalLong optional = (OptionalLong) value;
    if (optional.isPresent()) {
      packer.packLong(optional.getAsLong());
    } else {
      packer.packNil();
    }
  }

  private static Object optionalLong(ValueSource source) throws IOException {
    return source.unpacker().tryUnpackNil()
        ? OptionalLong.empty()
        : OptionalLong.of(source.unpacker().unpackLong());
  }

  private static ValueCodec of(Writer writer, Reader reader, Object defaultValue) {
    return new ValueCodec() {
      @Override
      public void write(Object value, MessagePacker packer) throws IOException {
        writer.write(value, packer);
      }

      @Override
      public Object read(ValueSource source) throws IOException, MessageFormatException {
        return reader.read(source);
      }

      @Override
      public Optional<Object> defaultValue() {
        return Optional.ofNullable(defaultValue);
      }
    };
  }

  private interface Writer {
    void write(Object value, MessagePacker packer) throws IOException;
  }

  private interface Reader {
    Object read(ValueSource source) throws IOException, MessageFormatException;
  }
}
