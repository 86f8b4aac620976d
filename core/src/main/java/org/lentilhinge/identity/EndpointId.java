package org.lentilhinge.identity;

/**
 * The name of an endpoint: a model engine or an instance of a plain service.
 *
 * @param value the name, which consists of letters, digits, dots, hyphens and underscores
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

  /**
   * Checks the name.
   *
   * @param value the name
   * @throws IllegalArgumentException if the name is empty or too long or contains any other
   *     character
   */
  public EndpointId {
    Names.check("endpoint", value);
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
