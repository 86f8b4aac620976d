package org.lentilhinge.routing;

import java.util.Map;
import java.util.Optional;

/**
 * The attributes of a request to which the conditions of rules refer.
 *
 * @param values the values by attribute name, in lower case
 */
public record RequestAttributes(Map<String, String> values) {

  /** An empty set of attributes. */
  public static final RequestAttributes NONE = new RequestAttributes(Map.of());

  /**
   * Copies the values.
   *
   * @param values the values by attribute name
   */
  public RequestAttributes {
    values = Map.copyOf(values);
  }

  /**
   * Looks up an attribute.
   *
   * @param name the attribute's name, in lower case
   * @return its value, or empty if the request has none
   */
  public Optional<String> value(String name) {
    return Optional.ofNullable(values.get(name));
  }
}
