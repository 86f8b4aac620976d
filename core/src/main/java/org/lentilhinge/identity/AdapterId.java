package org.lentilhinge.identity;

/**
 * The name of an adapter, independent of its version.
 *
 * @param value the name, which consists of letters, digits, dots, hyphens and underscores
 */
public record AdapterId(String value) implements Comparable<AdapterId> {

  /**
   * Checks the name.
   *
   * @param value the name
   * @throws IllegalArgumentException if the name is empty or too long or contains any other
   *     character
   */
  public AdapterId {
    Names.check("adapter", value);
  }

  @Override
  public int compareTo(AdapterId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
