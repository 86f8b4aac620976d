package org.lentilhinge.finding;

import java.util.Locale;

/**
 * A problem found in a file.
 *
 * @param place the place of the problem
 * @param severity the severity of the problem
 * @param message the description of the problem and of what is expected
 */
public record Finding(Place place, Severity severity, String message) {

  @Override
  public String toString() {
    return place + ": " + severity.name().toLowerCase(Locale.ROOT) + ": " + message;
  }
}
