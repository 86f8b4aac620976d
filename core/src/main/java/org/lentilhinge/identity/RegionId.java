package org.lentilhinge.identity;

/**
 * The name of a region, a group of availability zones that are connected by fast links.
 *
 * @param value the name, which consists of letters, digits, dots, hyphens and underscores
 */
public record RegionId(String value) implements Comparable<RegionId> {

  /**
   * Checks the name.
   *
   * @param value the name
   * @throws IllegalArgumentException if the name is empty or too long or contains any other
   *     character
   */
  public RegionId {
    Names.check("region", value);
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
