package org.lentilhinge.runtime.peer;

import java.io.IOException;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/**
 * Encodes the records of one class as MessagePack arrays of their components. On reading, trailing
 * components added by a newer sender are skipped, and components that an older sender omits are set
 * to the default of their type.
 */
final class RecordCodec implements ValueCodec {

  private static final MethodType ACCESSOR = MethodType.methodType(Object.class, Object.class);
  private static final MethodType CONSTRUCTOR = MethodType.methodType(Object.class, Object[].class);

  private final Class<?> type;
  private final ValueCodec[] codecs;
  private final MethodHandle[] accessors;
  private final MethodHandle constructor;

  private RecordCodec(
      Class<?> type, ValueCodec[] codecs, MethodHandle[] accessors, MethodHandle constructor) {
    this.type = type;
    this.codecs = codecs;
    this.accessors = accessors;
    this.constructor = constructor;
  }

  static RecordCodec of(Class<?> type, CodecFactory factory) {
    RecordComponent[] components = type.getRecordComponents();
    ValueCodec[] codecs = new ValueCodec[components.length];
    MethodHandle[] accessors = new MethodHandle[components.length];
    for (int index = 0; index < components.length; index++) {
      codecs[index] = factory.codec(components[index].getGenericType());
      accessors[index] = accessor(components[index].getAccessor());
    }
    return new RecordCodec(type, codecs, accessors, constructor(type, components));
  }

  private static MethodHandle accessor(Method method) {
    try {
      method.setAccessible(true);
      return MethodHandles.lookup().unreflect(method).asType(ACCESSOR);
    } catch (IllegalAccessException exception) {
      throw new IllegalArgumentException("cannot read " + method, exception);
    }
  }

  private static MethodHandle constructor(Class<?> type, RecordComponent[] components) {
    Class<?>[] types =
        Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
    try {
      Constructor<?> canonical = type.getDeclaredConstructor(types);
      canonical.setAccessible(true);
      return MethodHandles.lookup()
          .unreflectConstructor(canonical)
          .asSpreader(Object[].class, types.length)
          .asType(CONSTRUCTOR);
    } catch (ReflectiveOperationException exception) {
      throw new IllegalArgumentException("cannot construct " + type.getName(), exception);
    }
  }

  @Override
  public void write(Object value, MessagePacker packer) throws IOException {
    packer.packArrayHeader(codecs.length);
    for (int index = 0; index < codecs.length; index++) {
      codecs[index].write(component(value, index), packer);
    }
  }

  private Object component(Object value, int index) {
    try {
      return (Object) accessors[index].invokeExact(value);
    } catch (RuntimeException | Error exception) {
      throw exception;
    } catch (Throwable exception) {
      throw new IllegalStateException("cannot read a " + type.getName(), exception);
    }
  }

  @Override
  public Object read(ValueSource source) throws IOException, MessageFormatException {
    int receivedCount = source.arrayHeader();
    Object[] values = new Object[codecs.length];
    for (int index = 0; index < codecs.length; index++) {
      values[index] = index < receivedCount ? codecs[index].read(source) : defaultComponent(index);
    }
    if (receivedCount > codecs.length) {
      source.unpacker().skipValue(receivedCount - codecs.length);
    }
    return construct(values);
  }

  private Object defaultComponent(int index) throws MessageFormatException {
    Optional<Object> value = codecs[index].defaultValue();
    if (value.isEmpty()) {
      throw new MessageFormatException(
          "a " + type.getSimpleName() + " lacks component " + index + " of " + codecs.length);
    }
    return value.get();
  }

  private Object construct(Object[] values) throws MessageFormatException {
    try {
      return (Object) constructor.invokeExact(values);
    } catch (Error exception) {
      throw exception;
    } catch (Throwable exception) {
      // The constructor of the record rejected the values that the peer sent.
      throw new MessageFormatException("invalid " + type.getSimpleName(), exception);
    }
  }
}
