package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;

/** Removes the headers that apply to a single connection only (RFC 9110, section 7.6.1). */
final class HopByHopHeaders {

  private static final List<String> NAMES =
      List.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect");

  private HopByHopHeaders() {}

  static void remove(HttpHeaders headers) {
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        String trimmed = name.trim().toLowerCase(Locale.ROOT);
        if (!trimmed.isEmpty()) {
          headers.remove(trimmed);
        }
      }
    }
    NAMES.forEach(headers::remove);
  }
}
