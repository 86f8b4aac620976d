package org.lentilhinge.runtime.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.lentilhinge.message.PeerMessage;

/** Passes each message of another host to the handler of its type. */
final class MessageHandlers {

  private final Map<Class<? extends PeerMessage>, BiConsumer<String, PeerMessage>> handlers =
      new HashMap<>();
  private final BiConsumer<String, PeerMessage> defaultHandler;

  /**
   * Creates handlers for no type.
   *
   * @param defaultHandler receives messages of all other types, with the host that sent them
   */
  MessageHandlers(BiConsumer<String, PeerMessage> defaultHandler) {
    this.defaultHandler = defaultHandler;
  }

  /** Adds the handler of a type, which receives the name of the sending host and the message. */
  <T extends PeerMessage> MessageHandlers on(Class<T> type, BiConsumer<String, T> handler) {
    handlers.put(type, (host, message) -> handler.accept(host, type.cast(message)));
    return this;
  }

  void handle(String host, PeerMessage message) {
    handlers.getOrDefault(message.getClass(), defaultHandler).accept(host, message);
  }
}
