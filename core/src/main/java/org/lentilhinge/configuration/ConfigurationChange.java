package org.lentilhinge.configuration;

import java.util.Optional;

/**
 * The change of one declaration between two configurations.
 *
 * @param subject the declared item, such as {@code adapter drains-sofia}
 * @param before the previous declaration, or empty if the item is added
 * @param after the new declaration, or empty if the item is removed
 */
public record ConfigurationChange(String subject, Optional<String> before, Optional<String> after) {

  @Override
  public String toString() {
    if (before.isEmpty()) {
      return "+ " + subject + ": " + after.orElse("");
    }
    return after
        .map(text -> "~ " + subject + ": " + before.get() + " -> " + text)
        .orElseGet(() -> "- " + subject + ": " + before.get());
  }
}
