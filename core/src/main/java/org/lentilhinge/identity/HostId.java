package org.lentilhinge.identity;

/**
 * The name of an entry host.
 *
 * @param value the name, which consists of letters, digits, dots, hyphens and underscores
 */
public record HostId(String value) implements Comparable<HostId> {

  /**
   * Checks the name.
   *
   * @param value the name
   * @throws IllegalArgumentException if the name is empty or too long or contains any other
   *     character
   */
  public HostId {
    Names.check("host", value);
  }

  @Override
  public int compareTo(HostId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
