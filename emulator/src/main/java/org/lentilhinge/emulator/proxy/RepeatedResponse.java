package org.lentilhinge.emulator.proxy;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import java.util.stream.Stream;

/** The forms in which a server repeats a response. */
public enum RepeatedResponse {
  /** Names the request to which it responds. */
  NAMED,
  /** Names no request. */
  UNNAMED,
  /** Names the request to which it responds, and the next one on the connection. */
  NAMED_TWICE,
  /** Names no request; a part of the head is sent before the next request on the connection. */
  SPLIT;

  /**
   * Returns the bytes of the repeated response.
   *
   * @param response the response
   * @param header the name of the header that names requests
   * @param formerId the id of the request to which the response belongs, if it has one
   * @param nextId the id of the next request on the connection, if it has one
   * @return the bytes
   */
  Buffer repeat(
      Buffer response, String header, Optional<String> formerId, Optional<String> nextId) {
    Buffer repeated = response.copy();
    return switch (this) {
      case NAMED -> insert(repeated, header, formerId.stream().toList());
      case NAMED_TWICE ->
          insert(repeated, header, Stream.of(formerId, nextId).flatMap(Optional::stream).toList());
      case UNNAMED -> repeated;
      case SPLIT -> repeated.getBuffer(splitPosition(repeated), repeated.length());
    };
  }

  /**
   * Returns the bytes of the repeated response that are sent before the next request.
   *
   * @param response the response
   * @return the bytes, none except in the form {@link #SPLIT}
   */
  Buffer firstPart(Buffer response) {
    return this == SPLIT ? response.getBuffer(0, splitPosition(response)) : Buffer.buffer();
  }

  /** Returns a position in the middle of the head, so that no message is decoded before it. */
  private static int splitPosition(Buffer response) {
    return response.toString(StandardCharsets.ISO_8859_1).indexOf("\r\n\r\n") / 2;
  }

  private static Buffer insert(Buffer response, String header, Collection<String> ids) {
    int endOfStatusLine = response.toString(StandardCharsets.ISO_8859_1).indexOf('\n') + 1;
    Buffer named = Buffer.buffer().appendBuffer(response.getBuffer(0, endOfStatusLine));
    ids.forEach(id -> named.appendString(header + ": " + id + "\r\n"));
    return named.appendBuffer(response.getBuffer(endOfStatusLine, response.length()));
  }
}
