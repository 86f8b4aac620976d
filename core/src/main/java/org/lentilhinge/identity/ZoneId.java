package org.lentilhinge.identity;

/**
 * The name of an availability zone.
 *
 * @param value the name, which consists of letters, digits, dots, hyphens and underscores
 */
public record ZoneId(String value) implements Comparable<ZoneId> {

  /**
   * Checks the name.
   *
   * @param value the name
   * @throws IllegalArgumentException if the name is empty or too long or contains any other
   *     character
   */
  public ZoneId {
    Names.check("zone", value);
  }

  @Override
  public int compareTo(ZoneId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
