package org.lentilhinge.identity;

/**
 * The name of a base model for which adapters are trained.
 *
 * @param value the name, which consists of letters, digits, dots, hyphens and underscores
 */
public record BaseModelId(String value) implements Comparable<BaseModelId> {

  /**
   * Checks the name.
   *
   * @param value the name
   * @throws IllegalArgumentException if the name is empty or too long or contains any other
   *     character
   */
  public BaseModelId {
    Names.check("base model", value);
  }

  @Override
  public int compareTo(BaseModelId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
