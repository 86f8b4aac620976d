package org.lentilhinge.configuration;

import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** The units of a kind of quantity in configuration files. */
public enum Unit {
  /** Durations; the smallest unit is the millisecond. */
  DURATION(new Scale("ms", 1), new Scale("s", 1_000), new Scale("min", 60_000)),
  /** Sizes; the smallest unit is the byte. */
  SIZE(new Scale("B", 1), new Scale("KB", 1_000), new Scale("MB", 1_000_000));

  private static final Pattern QUANTITY =
      Pattern.compile("(\\d{1,12}(?:\\.\\d{1,15})?) ?([A-Za-z]+)");

  private final Scale[] scales;

  Unit(Scale... scales) {
    this.scales = scales;
  }

  /**
   * Parses a quantity such as {@code 30 s}, {@code 0.5 s} or {@code 48 MB}. Fractions of the
   * smallest unit are rounded.
   *
   * @param text the text
   * @return the quantity in the smallest unit, or empty if the text is malformed
   */
  public Optional<Long> parse(String text) {
    Matcher matcher = QUANTITY.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Arrays.stream(scales)
        .filter(scale -> scale.name().equals(matcher.group(2)))
        .findFirst()
        .map(scale -> Math.round(Double.parseDouble(matcher.group(1)) * scale.factor()));
  }

  /**
   * Formats a quantity in the largest unit in which it is a whole number.
   *
   * @param quantity the quantity in the smallest unit
   * @return the text
   */
  public String describe(long quantity) {
    Scale largest = scales[0];
    for (Scale scale : scales) {
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
    return Arrays.stream(scales).map(Scale::name).collect(Collectors.joining(", "));
  }

  private record Scale(String name, long factor) {}
}
