package org.lentilhinge.identity;

import java.util.Comparator;

/**
 * The version of a configuration that operators declared in the published store. After a restore of
 * the store a number may be declared again with other contents; the later declaration counts. A
 * lower number never replaces a higher one.
 *
 * @param number the number that the operators gave
 * @param declaredAt the state of the store that resulted from the declaration
 */
public record DeclaredVersion(long number, StoreRevision declaredAt)
    implements Comparable<DeclaredVersion> {

  /** Precedes all declared versions. */
  public static final DeclaredVersion NONE = new DeclaredVersion(0, StoreRevision.NONE);

  private static final Comparator<DeclaredVersion> ORDER =
      Comparator.comparingLong(DeclaredVersion::number).thenComparing(DeclaredVersion::declaredAt);

  @Override
  public int compareTo(DeclaredVersion other) {
    return ORDER.compare(this, other);
  }

  /**
   * Returns whether this version is replaced by another one.
   *
   * @param other the other version
   * @return whether the other version is newer
   */
  public boolean isBefore(DeclaredVersion other) {
    return compareTo(other) < 0;
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
