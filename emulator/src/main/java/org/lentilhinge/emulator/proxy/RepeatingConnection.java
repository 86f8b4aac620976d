package org.lentilhinge.emulator.proxy;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One connection through a proxy, which carries one request at a time. */
final class RepeatingConnection {

  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final Pattern CHUNKED = header("transfer-encoding", "chunked");
  private static final Pattern CONTENT_LENGTH = header("content-length", "(\\d+)");

  private final NetSocket callerSocket;
  private final NetSocket serverSocket;
  private final RepeatedResponse form;
  private final String requestIdHeader;
  private final Pattern requestId;
  private Optional<String> formerId = Optional.empty();
  private Buffer response = Buffer.buffer();
  private boolean idle = true;

  RepeatingConnection(
      NetSocket callerSocket,
      NetSocket serverSocket,
      RepeatedResponse form,
      String requestIdHeader) {
    this.callerSocket = callerSocket;
    this.serverSocket = serverSocket;
    this.form = form;
    this.requestIdHeader = requestIdHeader;
    this.requestId = header(Pattern.quote(requestIdHeader), "(\\S+)");
  }

  void start() {
    serverSocket.handler(this::receiveFromServer).closeHandler(unused -> callerSocket.close());
    callerSocket.handler(this::receiveFromCaller).closeHandler(unused -> serverSocket.close());
    callerSocket.resume();
  }

  private void receiveFromCaller(Buffer bytes) {
    if (idle) {
      idle = false;
      Optional<String> id = find(requestId, bytes.toString(StandardCharsets.ISO_8859_1));
      if (response.length() > 0) {
        callerSocket.write(form.repeat(response, requestIdHeader, formerId, id));
      }
      response = Buffer.buffer();
      formerId = id;
    }
    serverSocket.write(bytes);
  }

  private void receiveFromServer(Buffer bytes) {
    callerSocket.write(bytes);
    response.appendBuffer(bytes);
    if (isComplete(response.toString(StandardCharsets.ISO_8859_1))) {
      idle = true;
      callerSocket.write(form.firstPart(response));
    }
  }

  private static boolean isComplete(String text) {
    int endOfHead = text.indexOf(END_OF_HEAD) + END_OF_HEAD.length();
    if (endOfHead < END_OF_HEAD.length()) {
      return false;
    }
    String head = text.substring(0, endOfHead);
    if (CHUNKED.matcher(head).find()) {
      return text.endsWith(LAST_CHUNK);
    }
    int bodyLength = find(CONTENT_LENGTH, head).map(Integer::parseInt).orElse(0);
    return text.length() >= endOfHead + bodyLength;
  }

  private static Optional<String> find(Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
  }

  private static Pattern header(String name, String value) {
    return Pattern.compile("(?dim)^" + name + ": *" + value + "\\r$");
  }
}
