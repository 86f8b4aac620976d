package org.lentilhinge.follow;

import org.lentilhinge.identity.ConfigurationVersion;

/**
 * Identifies a published configuration. A publisher should not publish two texts with the same
 * version; if it does, the text with the greater digest is considered the later version, so that
 * all hosts converge on the same text.
 *
 * @param version the version that the root text states
 * @param root the digest of the root text
 */
public record PublishedVersion(ConfigurationVersion version, PartDigest root)
    implements Comparable<PublishedVersion> {

  /** The version of a host that has not applied any configuration yet. */
  public static final PublishedVersion NONE =
      new PublishedVersion(ConfigurationVersion.NONE, PartDigest.NONE);

  @Override
  public int compareTo(PublishedVersion other) {
    int byVersion = version.compareTo(other.version);
    return byVersion != 0 ? byVersion : root.compareTo(other.root);
  }

  /**
   * Indicates whether this version is later than another version.
   *
   * @param other the other version
   * @return whether this version replaces the other version
   */
  public boolean isAfter(PublishedVersion other) {
    return compareTo(other) > 0;
  }

  @Override
  public String toString() {
    return version + "/" + root.value().substring(0, 8);
  }
}
