import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Reads and formats HTTP/1.1 messages, as far as the stand-ins need them. */
final class Http {

  private static final int MAXIMUM_LINE_BYTES = 65_536;

  private Http() {}

  /** A request or a response with its complete body. */
  static final class Message {

    final String startLine;
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];

    Message(String startLine) {
      this.startLine = startLine;
    }

    Optional<String> header(String name) {
      return headers.stream()
          .filter(header -> header[0].equalsIgnoreCase(name))
          .map(header -> header[1])
          .findFirst();
    }

    String word(int index) {
      return startLine.split(" ", 3)[index];
    }

    int status() {
      return Integer.parseInt(word(1));
    }
  }

  /** Reads a message; empty if the channel ends before its first byte. */
  static Optional<Message> read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return Optional.empty();
    }
    Message message = new Message(start);
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      message.headers.add(
          new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
    }
    Optional<String> coding = message.header("Transfer-Encoding");
    if (coding.isPresent() && coding.get().toLowerCase(Locale.ROOT).contains("chunked")) {
      message.body = readChunks(in);
    } else if (message.header("Content-Length").isPresent()) {
      message.body = readExactly(in, Integer.parseInt(message.header("Content-Length").get()));
    }
    return Optional.of(message);
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new EOFException("end within chunks");
      }
      int length = Integer.parseInt(size.split(";")[0].trim(), 16);
      body.write(readExactly(in, length));
      line(in);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("end within a body");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (line.size() < MAXIMUM_LINE_BYTES) {
      int next = in.read();
      if (next < 0) {
        if (line.size() > 0) {
          throw new EOFException("end within a line");
        }
        return null;
      }
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
    throw new IOException("line too long");
  }

  /** Returns the bytes of a message with a body of a stated length. */
  static byte[] format(String startLine, List<String[]> headers, byte[] body) {
    StringBuilder head = new StringBuilder(startLine).append("\r\n");
    for (String[] header : headers) {
      head.append(header[0]).append(": ").append(header[1]).append("\r\n");
    }
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(body);
    return bytes.toByteArray();
  }
}
