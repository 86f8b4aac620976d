package org.lentilhinge.runtime.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * Computes the digest of what callers repeat when they send a request again under a new id: the
 * target, the caller and the body.
 */
final class RequestDigest {

  /** The length of a digest, in bytes. Two requests have the same one by chance in 2^64. */
  private static final int DIGEST_BYTES = 16;

  private RequestDigest() {}

  /**
   * Returns the digest of a request.
   *
   * @param request the request line and the headers
   * @param body the complete body, whose reader index is kept
   * @return the digest, in hexadecimal
   */
  static String of(HttpRequest request, ByteBuf body) {
    MessageDigest digest = sha256();
    List<String> identifying =
        List.of(
            request.method().name(),
            request.headers().get(HttpHeaderNames.HOST, ""),
            request.uri(),
            request.headers().get(HttpHeaderNames.AUTHORIZATION, ""));
    for (String text : identifying) {
      digest.update(text.getBytes(StandardCharsets.UTF_8));
      // Separates the texts, so that no two lists of texts have the same bytes.
      digest.update((byte) 0);
    }
    digest.update(body.nioBuffer());
    return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException("every Java platform has SHA-256", exception);
    }
  }
}
