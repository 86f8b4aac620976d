package org.lentilhinge.identity;

/**
 * The name of a plain service.
 *
 * @param value the name, which consists of letters, digits, dots, hyphens and underscores
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /**
   * Checks the name.
   *
   * @param value the name
   * @throws IllegalArgumentException if the name is empty or too long or contains any other
   *     character
   */
  public ServiceId {
    Names.check("service", value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
