package org.lentilhinge.emulator.load;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller with one connection that reads only on demand and may disconnect at any time. */
final class Caller {

  private static final int READ_TIMEOUT_MILLIS = 20_000;

  private final Socket socket;
  private final int port;
  private final String key;

  Caller(int port, String key) throws IOException {
    this.port = port;
    this.key = key;
    this.socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    socket.connect(new InetSocketAddress("127.0.0.1", port));
  }

  /** Sends a request without reading the response. */
  void send(String path, String body, String... headers) throws IOException {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    String metadata =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: 127.0.0.1:"
            + port
            + "\r\nAuthorization: Bearer "
            + key
            + headerLines(headers)
            + "\r\nContent-Length: "
            + content.length
            + "\r\nConnection: close\r\n\r\n";
    socket.getOutputStream().write(metadata.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().write(content);
    socket.getOutputStream().flush();
  }

  private static String headerLines(String... headers) {
    return headers.length == 0 ? "" : "\r\n" + String.join("\r\n", headers);
  }

  /** Reads until a text has been received. Returns all received text. */
  String readUntil(String text) throws IOException {
    InputStream input = socket.getInputStream();
    StringBuilder read = new StringBuilder();
    while (read.indexOf(text) < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("connection closed after: " + read);
      }
      read.append((char) next);
    }
    return read.toString();
  }

  /** Reads until the connection is closed. */
  String readAll() throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  void disconnect() throws IOException {
    socket.close();
  }
}
