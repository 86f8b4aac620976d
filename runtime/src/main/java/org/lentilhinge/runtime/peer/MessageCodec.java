package org.lentilhinge.runtime.peer;

import java.io.IOException;
import java.util.Optional;
import org.lentilhinge.message.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/** Encodes messages as bytes and decodes them. */
public final class MessageCodec {

  private static final int BUFFER_BYTES = 512;
  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

  private final MessageRegistry registry;

  /**
   * Creates a codec.
   *
   * @param registry the registered message types
   */
  public MessageCodec(MessageRegistry registry) {
    this.registry = registry;
  }

  /**
   * Encodes a message.
   *
   * @param message the message
   * @return the encoded message
   * @throws IllegalArgumentException if the type of the message is not registered
   */
  public byte[] encode(PeerMessage message) {
    int tag = registry.tag(message);
    try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
      packer.packInt(tag);
      registry.codec(tag).orElseThrow().write(message, packer);
      return packer.toByteArray();
    } catch (IOException exception) {
      throw new IllegalStateException("cannot encode " + message.getClass(), exception);
    }
  }

  /**
   * Decodes a message.
   *
   * @param bytes the encoded message
   * @return the message, or empty if its type is not registered on this host
   * @throws MessageFormatException if the bytes are not a valid message
   */
  public Optional<PeerMessage> decode(byte[] bytes) throws MessageFormatException {
    ValueSource source = new ValueSource(bytes, 0, bytes.length);
    try {
      Optional<ValueCodec> codec = registry.codec(source.unpacker().unpackInt());
      if (codec.isEmpty()) {
        return Optional.empty();
      }
      PeerMessage message = (PeerMessage) codec.get().read(source);
      if (!source.isAtEnd()) {
        throw new MessageFormatException(
            "trailing bytes after message " + message.getClass().getSimpleName());
      }
      return Optional.of(message);
    } catch (MessagePackException | IOException exception) {
      throw new MessageFormatException("message is not valid MessagePack", exception);
    }
  }
}
