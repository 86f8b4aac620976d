package org.lentilhinge.follow;

/**
 * A part of a configuration, identified by the digest of its text.
 *
 * @param digest the digest
 * @param text the text
 */
public record Part(PartDigest digest, String text) {

  /**
   * Creates a part from its text.
   *
   * @param text the text
   * @return the part
   */
  public static Part of(String text) {
    return new Part(PartDigest.of(text), text);
  }
}
