package org.lentilhinge.runtime.peer;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.Optional;
import org.lentilhinge.message.AbsentMeans;
import org.msgpack.core.MessagePacker;

/**
 * Encodes the records of one class as MessagePack arrays of their components. On reading, trailing
 * components added by a newer sender are skipped, and components that an older sender omits are set
 * to what {@link AbsentMeans} states, or else to the default of their type.
 *
 * <p>Uses reflection instead of method handles, which generate a class for each shape of record: a
 * third of the time until a host has started.
 */
final class RecordCodec implements ValueCodec {

  private final Class<?> type;
  private final ValueCodec[] codecs;
  private final Method[] accessors;
  private final Constructor<?> constructor;

  private RecordCodec(
      Class<?> type, ValueCodec[] codecs, Method[] accessors, Constructor<?> constructor) {
    this.type = type;
    this.codecs = codecs;
    this.accessors = accessors;
    this.constructor = constructor;
  }

  static RecordCodec of(Class<?> type, CodecFactory factory) {
    RecordComponent[] components = type.getRecordComponents();
    ValueCodec[] codecs = new ValueCodec[components.length];
    Method[] accessors = new Method[components.length];
    for (int index = 0; index < components.length; index++) {
      codecs[index] = factory.codec(components[index].getGenericType());
      accessors[index] = components[index].getAccessor();
      accessors[index].setAccessible(true);
    }
    return new RecordCodec(type, codecs, accessors, constructor(type, components));
  }

  private static Constructor<?> constructor(Class<?> type, RecordComponent[] components) {
    Class<?>[] types =
        Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
    try {
      Constructor<?> canonical = type.getDeclaredConstructor(types);
      canonical.setAccessible(true);
      return canonical;
    } catch (NoSuchMethodException exception) {
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
      return accessors[index].invoke(value);
    } catch (ReflectiveOperationException exception) {
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
    AbsentMeans meaning = type.getRecordComponents()[index].getAnnotation(AbsentMeans.class);
    if (meaning != null) {
      return meaning.value();
    }
    Optional<Object> value = codecs[index].defaultValue();
    if (value.isEmpty()) {
      throw new MessageFormatException(
          "a " + type.getSimpleName() + " lacks component " + index + " of " + codecs.length);
    }
    return value.get();
  }

  private Object construct(Object[] values) throws MessageFormatException {
    try {
      return constructor.newInstance(values);
    } catch (InvocationTargetException exception) {
      // The constructor of the record rejected the values that the peer sent.
      throw new MessageFormatException("invalid " + type.getSimpleName(), exception.getCause());
    } catch (ReflectiveOperationException | IllegalArgumentException exception) {
      throw new MessageFormatException("invalid " + type.getSimpleName(), exception);
    }
  }
}
