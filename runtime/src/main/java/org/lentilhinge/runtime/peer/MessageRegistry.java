package org.lentilhinge.runtime.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.message.PeerMessage;

/**
 * Maps the types of the messages that peers exchange to tags. A tag must never be reused for
 * another type, because hosts of different releases exchange messages.
 */
public final class MessageRegistry {

  private final CodecFactory factory = new CodecFactory();
  private final Map<Integer, ValueCodec> codecs = new HashMap<>();
  private final Map<Class<?>, Integer> tags = new HashMap<>();

  /**
   * Registers a message type. All types must be registered before the registry is used.
   *
   * @param tag the tag of the type on the wire
   * @param type the record class
   * @return this registry
   * @throws IllegalArgumentException if the tag or the class is already registered, or if the class
   *     has a component of an unsupported type
   */
  public MessageRegistry register(int tag, Class<? extends PeerMessage> type) {
    if (codecs.containsKey(tag) || tags.containsKey(type)) {
      throw new IllegalArgumentException(
          "message tag " + tag + " or its class is already registered: " + type.getName());
    }
    codecs.put(tag, factory.codec(type));
    tags.put(type, tag);
    return this;
  }

  Optional<ValueCodec> codec(int tag) {
    return Optional.ofNullable(codecs.get(tag));
  }

  int tag(PeerMessage message) {
    Integer tag = tags.get(message.getClass());
    if (tag == null) {
      throw new IllegalArgumentException(
          "message class is not registered: " + message.getClass().getName());
    }
    return tag;
  }
}
