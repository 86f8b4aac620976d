package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads a server's timeout for idle connections (RFC 2068, section 19.7.1.1). */
final class KeepAliveHeader {

  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,9})");

  private KeepAliveHeader() {}

  static Optional<Long> seconds(HttpHeaders headers) {
    String value = headers.get("Keep-Alive");
    if (value == null) {
      return Optional.empty();
    }
    Matcher matcher = TIMEOUT.matcher(value);
    return matcher.find() ? Optional.of(Long.parseLong(matcher.group(1))) : Optional.empty();
  }
}
