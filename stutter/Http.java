import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The parts of HTTP/1.1 that the stand-ins need. */
final class Http {

  private Http() {}

  /** Reads a message; returns null at the end of the connection before the first byte. */
  static HttpMessage read(InputStream in, boolean response) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String text = line(in); text != null && !text.isEmpty(); text = line(in)) {
      int colon = text.indexOf(':');
      headers.put(text.substring(0, colon).trim().toLowerCase(Locale.ROOT), text.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = true;
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      complete = readChunks(in, body);
    } else if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      byte[] bytes = in.readNBytes(length);
      body.write(bytes);
      complete = bytes.length == length;
    } else if (response) {
      in.transferTo(body);
    }
    return new HttpMessage(first, headers, body.toString(StandardCharsets.UTF_8), complete);
  }

  private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size;
      try {
        size = line(in);
      } catch (IOException exception) {
        return false;
      }
      if (size == null) {
        return false;
      }
      int length = Integer.parseInt(size.trim(), 16);
      byte[] bytes = in.readNBytes(length);
      body.write(bytes);
      if (bytes.length < length) {
        return false;
      }
      line(in);
      if (length == 0) {
        return true;
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); ; next = in.read()) {
      if (next < 0) {
        return bytes.size() == 0 ? null : bytes.toString(StandardCharsets.UTF_8);
      }
      if (next == '\n') {
        return bytes.toString(StandardCharsets.UTF_8).replace("\r", "");
      }
      bytes.write(next);
    }
  }

  /** Writes a message with a body of known length. */
  static void write(OutputStream out, String first, Map<String, String> headers, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    StringBuilder head = new StringBuilder(first).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(head.toString().getBytes(StandardCharsets.UTF_8));
    all.write(bytes);
    out.write(all.toByteArray());
    out.flush();
  }

  /** Makes one call on a new connection and reads the whole response. */
  static HttpMessage call(
      InetSocketAddress address, String method, String target, Map<String, String> headers, String body, int timeoutMillis)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address, timeoutMillis);
      socket.setSoTimeout(timeoutMillis);
      Map<String, String> all = new LinkedHashMap<>(headers);
      all.putIfAbsent("Host", "site.example");
      write(socket.getOutputStream(), method + " " + target + " HTTP/1.1", all, body);
      HttpMessage response = read(new BufferedInputStream(socket.getInputStream()), true);
      if (response == null) {
        throw new IOException("connection closed without a response");
      }
      return response;
    }
  }
}
