package org.lentilhinge.follow;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * Identifies a text by its content: the first 128 bits of its SHA-256 digest.
 *
 * @param value 32 hexadecimal digits in lower case
 */
public record PartDigest(String value) implements Comparable<PartDigest> {

  private static final Pattern FORMAT = Pattern.compile("[0-9a-f]{32}");

  /**
   * The digest that represents the absence of a text. Must be declared after {@code FORMAT}, which
   * the constructor uses.
   */
  public static final PartDigest NONE = new PartDigest("0".repeat(32));

  private static final int BYTES = 16;

  /**
   * Creates a digest.
   *
   * @param value the digits
   * @throws IllegalArgumentException if the value is not 32 hexadecimal digits in lower case
   */
  public PartDigest {
    if (!FORMAT.matcher(value).matches()) {
      throw new IllegalArgumentException(
          "'" + value + "' is not a digest of 32 hexadecimal digits");
    }
  }

  /**
   * Computes the digest of a text.
   *
   * @param text the text
   * @return its digest
   */
  public static PartDigest of(String text) {
    byte[] digest = sha256().digest(text.getBytes(StandardCharsets.UTF_8));
    return new PartDigest(HexFormat.of().formatHex(Arrays.copyOf(digest, BYTES)));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException("the Java platform does not provide SHA-256", exception);
    }
  }

  @Override
  public int compareTo(PartDigest other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
