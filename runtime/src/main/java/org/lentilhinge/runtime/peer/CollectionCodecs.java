package org.lentilhinge.runtime.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.msgpack.core.MessagePacker;

/** The codecs of optionals, lists, sets and maps. */
final class CollectionCodecs {

  private CollectionCodecs() {}

  /** Encodes an optional as its value, or as nil if it is empty. */
  record OptionalCodec(ValueCodec elementCodec) implements ValueCodec {

    @Override
    public void write(Object value, MessagePacker packer) throws IOException {
      Optional<?> optional = (Optional<?>) value;
      if (optional.isPresent()) {
        elementCodec.write(optional.get(), packer);
      } else {
        packer.packNil();
      }
    }

    @Override
    public Object read(ValueSource source) throws IOException, MessageFormatException {
      return source.unpacker().tryUnpackNil()
          ? Optional.empty()
          : Optional.of(elementCodec.read(source));
    }

    @Override
    public Optional<Object> defaultValue() {
      return Optional.of(Optional.empty());
    }
  }

  /** Encodes a list as an array. */
  record ListCodec(ValueCodec elementCodec) implements ValueCodec {

    @Override
    public void write(Object value, MessagePacker packer) throws IOException {
      writeAll((Collection<?>) value, elementCodec, packer);
    }

    @Override
    public Object read(ValueSource source) throws IOException, MessageFormatException {
      List<Object> values = new ArrayList<>();
      for (int remaining = source.arrayHeader(); remaining > 0; remaining--) {
        values.add(elementCodec.read(source));
      }
      return Collections.unmodifiableList(values);
    }

    @Override
    public Optional<Object> defaultValue() {
      return Optional.of(List.of());
    }
  }

  /** Encodes a set as an array. */
  record SetCodec(ValueCodec elementCodec) implements ValueCodec {

    @Override
    public void write(Object value, MessagePacker packer) throws IOException {
      writeAll((Collection<?>) value, elementCodec, packer);
    }

    @Override
    public Object read(ValueSource source) throws IOException, MessageFormatException {
      Set<Object> values = new LinkedHashSet<>();
      for (int remaining = source.arrayHeader(); remaining > 0; remaining--) {
        values.add(elementCodec.read(source));
      }
      return Collections.unmodifiableSet(values);
    }

    @Override
    public Optional<Object> defaultValue() {
      return Optional.of(Set.of());
    }
  }

  /** Encodes a map as a MessagePack map. */
  record MapCodec(ValueCodec keyCodec, ValueCodec valueCodec) implements ValueCodec {

    @Override
    public void write(Object value, MessagePacker packer) throws IOException {
      Map<?, ?> map = (Map<?, ?>) value;
      packer.packMapHeader(map.size());
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        keyCodec.write(entry.getKey(), packer);
        valueCodec.write(entry.getValue(), packer);
      }
    }

    @Override
    public Object read(ValueSource source) throws IOException, MessageFormatException {
      Map<Object, Object> values = new LinkedHashMap<>();
      for (int remaining = source.mapHeader(); remaining > 0; remaining--) {
        Object entryKey = keyCodec.read(source);
        values.put(entryKey, valueCodec.read(source));
      }
      return Collections.unmodifiableMap(values);
    }

    @Override
    public Optional<Object> defaultValue() {
      return Optional.of(Map.of());
    }
  }

  private static void writeAll(Collection<?> values, ValueCodec element, MessagePacker packer)
      throws IOException {
    packer.packArrayHeader(values.size());
    for (Object value : values) {
      element.write(value, packer);
    }
  }
}
