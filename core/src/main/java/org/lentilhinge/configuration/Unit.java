package org.lentilhinge.configuration;

import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** The units of a kind of quantity in declarative files. */
public enum Unit {
  /** Durations; the smallest unit is the millisecond. */
  DURATION(new Step("ms", 1), new Step("s", 1_000), new Step("min", 60_000)),
  /** Sizes; the smallest unit is the byte. */
  SIZE(new Step("B", 1), new Step("KB", 1_000), new Step("MB", 1_000_000));

  private static final Pattern QUANTITY = Pattern.compile("(\\d{1,12}) ?([A-Za-z]+)");

  private final Step[] steps;

  Unit(Step... scales) {
    this.steps = scales;
  }

  /**
   * Parses a quantity such as {@code 30 s} or {@code 48 MB}.
   *
   * @param text the text
   * @return the quantity in the smallest unit, or empty if the text is malformed
   */
  public Optional<Long> parse(String text) {
    Matcher matcher = QUANTITY.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Arrays.stream(steps)
        .filter(scale -> scale.name().equals(matcher.group(2)))
        .findFirst()
        .map(scale -> Long.parseLong(matcher.group(1)) * scale.factor());
  }

  /**
   * Formats a quantity in the largest unit in which it is a whole number.
   *
   * @param quantity the quantity in the smallest unit
   * @return the text
   */
  public String describe(long quantity) {
    Step largest = steps[0];
    for (Step scale : steps) {
      if (quantity != 0 && quantity % scale.factor() == 0) {
        largest = scale;
      }
    }
    return quantity / largest.factor() + " " + largest.name();
  }

  /**
   * Returns the names of the units.
   *
   * @return the names, from the smallest unit to the largest, separated by commas
   */
  public String names() {
    return Arrays.stream(steps).map(Step::name).collect(Collectors.joining(", "));
  }

  private record Step(String name, long factor) {}
}
