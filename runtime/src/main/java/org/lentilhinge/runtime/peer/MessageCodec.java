package org.lentilhinge.runtime.peer;

import java.io.IOException;
import java.util.Optional;
import org.lentilhinge.message.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/** Encodes messages as bytes and decodes them. Long messages are compressed. */
public final class MessageCodec {

  private static final int BUFFER_BYTES = 512;

  /** The tag of compressed messages, which no type of message has. */
  private static final int COMPRESSED_TAG = -1;

  /** The length from which messages are compressed, in bytes; most are far shorter. */
  private static final int MINIMUM_COMPRESSED_BYTES = 4_096;

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
      byte[] bytes = packer.toByteArray();
      return bytes.length < MINIMUM_COMPRESSED_BYTES ? bytes : compress(bytes);
    } catch (IOException exception) {
      throw new IllegalStateException("cannot encode " + message.getClass(), exception);
    }
  }

  private static byte[] compress(byte[] bytes) throws IOException {
    byte[] compressed = MessageCompression.compress(bytes);
    try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
      packer.packInt(COMPRESSED_TAG);
      packer.packBinaryHeader(compressed.length);
      packer.writePayload(compressed);
      return packer.toByteArray();
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
      int tag = source.unpacker().unpackInt();
      if (tag == COMPRESSED_TAG) {
        return decodePlain(MessageCompression.decompress(source.bytes()));
      }
      return decodePlain(bytes);
    } catch (MessagePackException | IOException exception) {
      throw new MessageFormatException("message is not valid MessagePack", exception);
    }
  }

  private Optional<PeerMessage> decodePlain(byte[] bytes) throws MessageFormatException {
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
