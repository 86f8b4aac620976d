package org.lentilhinge.runtime.peer;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses and decompresses the bytes of a message (DEFLATE, RFC 1951, in the zlib format). */
final class MessageCompression {

  /** The maximum length of a decompressed message; several times the longest configuration. */
  private static final int MAXIMUM_BYTES = 16_777_216;

  private static final int BUFFER_BYTES = 16_384;

  private MessageCompression() {}

  static byte[] compress(byte[] bytes) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(bytes);
      deflater.finish();
      ByteArrayOutputStream compressed = new ByteArrayOutputStream(bytes.length / 2);
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        compressed.write(buffer, 0, deflater.deflate(buffer));
      }
      return compressed.toByteArray();
    } finally {
      deflater.end();
    }
  }

  /**
   * Decompresses the bytes of a message.
   *
   * @throws MessageFormatException if they are not valid, or the message is too long
   */
  static byte[] decompress(byte[] bytes) throws MessageFormatException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(bytes);
      ByteArrayOutputStream decompressed = new ByteArrayOutputStream(bytes.length * 4);
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int length = inflater.inflate(buffer);
        if (length == 0) {
          throw new MessageFormatException("compressed message ends early");
        }
        decompressed.write(buffer, 0, length);
        if (decompressed.size() > MAXIMUM_BYTES) {
          throw new MessageFormatException(
              "compressed message is longer than " + MAXIMUM_BYTES + " bytes");
        }
      }
      return decompressed.toByteArray();
    } catch (DataFormatException exception) {
      throw new MessageFormatException("message is not valid zlib data", exception);
    } finally {
      inflater.end();
    }
  }
}
