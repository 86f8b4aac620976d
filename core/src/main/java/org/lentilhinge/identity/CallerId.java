package org.lentilhinge.identity;

/**
 * The name of a caller.
 *
 * @param value the name, which consists of letters, digits, dots, hyphens and underscores
 */
public record CallerId(String value) implements Comparable<CallerId> {

  /**
   * Checks the name.
   *
   * @param value the name
   * @throws IllegalArgumentException if the name is empty or too long or contains any other
   *     character
   */
  public CallerId {
    Names.check("caller", value);
  }

  @Override
  public int compareTo(CallerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
