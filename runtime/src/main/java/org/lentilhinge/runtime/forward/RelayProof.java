package org.lentilhinge.runtime.forward;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The mark of a relayed request: the version of the sending host's configuration, with a proof that
 * a host has set it, which knows the secret of all hosts. Callers could evade their quotas
 * otherwise.
 */
final class RelayProof {

  private static final String ALGORITHM = "HmacSHA256";
  private static final Pattern FORMAT = Pattern.compile("(\\d{1,18})\\.[0-9a-f]{64}");

  private final SecretKeySpec key;
  private long markedVersion = -1;
  private String mark = "";

  RelayProof(String secret) {
    key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
  }

  /** Returns the mark of requests of a host with a version of the configuration. */
  String mark(long version) {
    if (version != markedVersion) {
      mark = version + "." + HexFormat.of().formatHex(digest("relay " + version));
      markedVersion = version;
    }
    return mark;
  }

  private byte[] digest(String text) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      return mac.doFinal(text.getBytes(StandardCharsets.UTF_8));
    } catch (GeneralSecurityException exception) {
      throw new IllegalStateException("cannot sign relayed requests", exception);
    }
  }

  /** Returns the version that a mark states; empty if no host of this deployment has set it. */
  OptionalLong verify(String value) {
    Matcher matcher = FORMAT.matcher(value);
    if (!matcher.matches()) {
      return OptionalLong.empty();
    }
    long version = Long.parseLong(matcher.group(1));
    boolean genuine =
        MessageDigest.isEqual(
            value.getBytes(StandardCharsets.UTF_8), mark(version).getBytes(StandardCharsets.UTF_8));
    return genuine ? OptionalLong.of(version) : OptionalLong.empty();
  }
}
