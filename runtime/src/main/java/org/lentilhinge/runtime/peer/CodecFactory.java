package org.lentilhinge.runtime.peer;

import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.msgpack.core.MessagePacker;

/** Creates codecs from the declarations of types, and caches those of composite types. */
final class CodecFactory {

  private final Map<Class<?>, ValueCodec> codecs = new HashMap<>();
  private final Set<Class<?>> inProgress = new HashSet<>();

  /**
   * Returns the codec of a type and creates it if necessary.
   *
   * @param type the declared type
   * @return the codec
   * @throws IllegalArgumentException if the type is not supported in messages
   */
  ValueCodec codec(Type type) {
    if (type instanceof ParameterizedType parameterized) {
      return codec((Class<?>) parameterized.getRawType(), parameterized.getActualTypeArguments());
    }
    if (type instanceof Class<?> plain) {
      return ScalarCodecs.find(plain).orElseGet(() -> composite(plain));
    }
    throw new IllegalArgumentException("no codec for " + type);
  }

  private ValueCodec codec(Class<?> raw, Type[] arguments) {
    if (raw == Optional.class) {
      return new CollectionCodecs.OptionalCodec(codec(arguments[0]));
    } else if (raw == List.class) {
      return new CollectionCodecs.ListCodec(codec(arguments[0]));
    } else if (raw == Set.class) {
      return new CollectionCodecs.SetCodec(codec(arguments[0]));
    } else if (raw == Map.class) {
      return new CollectionCodecs.MapCodec(codec(arguments[0]), codec(arguments[1]));
    }
    throw new IllegalArgumentException("no codec for " + raw);
  }

  private ValueCodec composite(Class<?> type) {
    ValueCodec cached = codecs.get(type);
    if (cached != null) {
      return cached;
    }
    if (!inProgress.add(type)) {
      throw new IllegalArgumentException("no codec for recursive type " + type);
    }
    ValueCodec codec = create(type);
    inProgress.remove(type);
    codecs.put(type, codec);
    return codec;
  }

  private ValueCodec create(Class<?> type) {
    if (type.isEnum()) {
      return new EnumCodec(type.getEnumConstants());
    } else if (type.isRecord()) {
      return RecordCodec.of(type, this);
    } else if (type.isSealed() && type.isInterface()) {
      Class<?>[] members = type.getPermittedSubclasses();
      ValueCodec[] memberCodecs = new ValueCodec[members.length];
      for (int index = 0; index < members.length; index++) {
        memberCodecs[index] = codec(members[index]);
      }
      return new SealedCodec(members, memberCodecs);
    }
    throw new IllegalArgumentException("no codec for " + type);
  }

  /** Encodes an enum constant as its ordinal. */
  private record EnumCodec(Object[] constants) implements ValueCodec {

    @Override
    public void write(Object value, MessagePacker packer) throws IOException {
      packer.packInt(((Enum<?>) value).ordinal());
    }

    @Override
    public Object read(ValueSource source) throws IOException, MessageFormatException {
      int ordinal = source.unpacker().unpackInt();
      if (ordinal < 0 || ordinal >= constants.length) {
        throw new MessageFormatException(
            "no constant with ordinal "
                + ordinal
                + " in "
                + constants[0].getClass().getSimpleName());
      }
      return constants[ordinal];
    }
  }

  /**
   * Encodes a member of a sealed interface as its index among the permitted classes and its value.
   */
  private record SealedCodec(Class<?>[] members, ValueCodec[] memberCodecs) implements ValueCodec {

    @Override
    public void write(Object value, MessagePacker packer) throws IOException {
      int memberIndex = List.of(members).indexOf(value.getClass());
      packer.packArrayHeader(2).packInt(memberIndex);
      memberCodecs[memberIndex].write(value, packer);
    }

    @Override
    public Object read(ValueSource source) throws IOException, MessageFormatException {
      if (source.arrayHeader() != 2) {
        throw new MessageFormatException("a member of a sealed interface is not encoded as a pair");
      }
      int memberIndex = source.unpacker().unpackInt();
      if (memberIndex < 0 || memberIndex >= members.length) {
        throw new MessageFormatException(
            "no member with index " + memberIndex + " in a sealed interface");
      }
      return memberCodecs[memberIndex].read(source);
    }
  }
}
