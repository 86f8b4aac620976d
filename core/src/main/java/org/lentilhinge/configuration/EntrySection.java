package org.lentilhinge.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.lentilhinge.finding.FindingCollector;
import org.lentilhinge.finding.Place;

/**
 * Reads the entries of one section as typed values. Each error becomes a finding with its place,
 * and the reading method then returns a placeholder; {@link #isValid()} indicates whether no
 * placeholder was returned.
 */
public final class EntrySection {

  private static final Pattern ADDRESS_FORMAT =
      Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}|\\[[0-9A-Fa-f:]+\\]:\\d{1,5}");
  private static final int MAXIMUM_PORT = 65_535;

  private final String name;
  private final Place place;
  private final Map<String, ConfigurationEntry> entries = new LinkedHashMap<>();
  private final Set<String> readKeys = new LinkedHashSet<>();
  private final FindingCollector collector;
  private boolean valid = true;

  /**
   * Creates a section from its entries.
   *
   * @param name the section's name
   * @param place the place where the section begins
   * @param entries the entries of the section
   * @param collector the collector of the findings
   */
  public EntrySection(
      String name, Place place, List<ConfigurationEntry> entries, FindingCollector collector) {
    this.name = name;
    this.place = place;
    this.collector = collector;
    entries.forEach(this::add);
  }

  private void add(ConfigurationEntry entry) {
    ConfigurationEntry previous = entries.putIfAbsent(entry.key(), entry);
    if (previous != null) {
      error(entry.place(), "'" + entry.key() + "' is already defined at " + previous.place());
    }
  }

  /**
   * Groups entries by section.
   *
   * @param entries the entries
   * @param collector the collector of the sections' findings
   * @return the sections, in the order in which they begin
   */
  public static List<EntrySection> group(
      List<ConfigurationEntry> entries, FindingCollector collector) {
    Map<String, List<ConfigurationEntry>> bySection = new LinkedHashMap<>();
    for (ConfigurationEntry entry : entries) {
      bySection.computeIfAbsent(entry.section(), absent -> new ArrayList<>()).add(entry);
    }
    List<EntrySection> sections = new ArrayList<>();
    bySection.forEach((name, sectionEntries) -> sections.add(of(name, sectionEntries, collector)));
    return sections;
  }

  private static EntrySection of(
      String name, List<ConfigurationEntry> entries, FindingCollector collector) {
    Place first = entries.get(0).place();
    return new EntrySection(
        name, Place.ofSection(first.file(), name, first.line()), entries, collector);
  }

  /**
   * Returns the section's name.
   *
   * @return the kind and the label of the section
   */
  public String name() {
    return name;
  }

  /**
   * Returns the section's kind.
   *
   * @return the first word of the section's name
   */
  public String kind() {
    int space = name.indexOf(' ');
    return space < 0 ? name : name.substring(0, space);
  }

  /**
   * Returns the section's label.
   *
   * @return the section's name without the kind, or an empty string
   */
  public String label() {
    int space = name.indexOf(' ');
    return space < 0 ? "" : name.substring(space + 1).trim();
  }

  /**
   * Returns the place where the section begins.
   *
   * @return the place
   */
  public Place place() {
    return place;
  }

  /**
   * Returns the place of a key.
   *
   * @param key the key
   * @return the place of the key, or of the section if the key is missing
   */
  public Place placeOf(String key) {
    return entry(key).map(ConfigurationEntry::place).orElse(place);
  }

  /**
   * Indicates whether no error has been recorded so far.
   *
   * @return whether every value read so far is the declared value and not a placeholder
   */
  public boolean isValid() {
    return valid;
  }

  /**
   * Returns the keys that have been read, whether they are present or not.
   *
   * @return the keys
   */
  public Set<String> readKeys() {
    return Set.copyOf(readKeys);
  }

  /**
   * Returns the entries whose keys begin with a prefix, and marks these keys as read.
   *
   * @param prefix the prefix; an empty prefix selects all entries
   * @return the entries in the order of their lines
   */
  public List<ConfigurationEntry> entries(String prefix) {
    List<ConfigurationEntry> matching =
        entries.values().stream().filter(entry -> entry.key().startsWith(prefix)).toList();
    matching.forEach(entry -> readKeys.add(entry.key()));
    return matching;
  }

  /**
   * Records an error in a value.
   *
   * @param at the place of the value
   * @param message the description of the error
   */
  public void error(Place at, String message) {
    valid = false;
    collector.error(at, message);
  }

  /**
   * Records a warning about a value.
   *
   * @param at the place of the value
   * @param message the description of the warning
   */
  public void warning(Place at, String message) {
    collector.warning(at, message);
  }

  /**
   * Reads an optional text.
   *
   * @param key the key
   * @return the value, or empty if it is missing
   */
  public Optional<String> optionalText(String key) {
    return entry(key).map(ConfigurationEntry::value).filter(value -> !value.isEmpty());
  }

  /**
   * Reads a required text.
   *
   * @param key the key
   * @return the value
   */
  public String text(String key) {
    Optional<String> value = optionalText(key);
    if (value.isEmpty()) {
      error(placeOf(key), "'" + key + "' is missing");
    }
    return value.orElse("");
  }

  /**
   * Reads a required whole number.
   *
   * @param key the key
   * @param minimum the minimum value, which is also the placeholder
   * @param maximum the maximum value
   * @return the value
   */
  public long number(String key, long minimum, long maximum) {
    String value = text(key);
    return value.isEmpty() ? minimum : parseNumber(key, value, minimum, maximum);
  }

  /**
   * Reads a whole number with a default.
   *
   * @param key the key
   * @param minimum the minimum value, which is also the placeholder
   * @param maximum the maximum value
   * @param defaultValue the value if the key is missing
   * @return the value
   */
  public long number(String key, long minimum, long maximum, long defaultValue) {
    return optionalText(key)
        .map(value -> parseNumber(key, value, minimum, maximum))
        .orElse(defaultValue);
  }

  /**
   * Reads a decimal number with a default.
   *
   * @param key the key
   * @param minimum the minimum value, which is also the placeholder
   * @param maximum the maximum value
   * @param defaultValue the value if the key is missing
   * @return the value
   */
  public double decimal(String key, double minimum, double maximum, double defaultValue) {
    return optionalText(key)
        .map(value -> parseDecimal(key, value, minimum, maximum))
        .orElse(defaultValue);
  }

  /**
   * Reads a quantity with a unit and a default.
   *
   * @param key the key
   * @param unit the permitted units
   * @param minimum the minimum value, in the smallest unit
   * @param maximum the maximum value, in the smallest unit
   * @param defaultValue the value if the key is missing, in the smallest unit
   * @return the value in the smallest unit
   */
  public long quantity(String key, Unit unit, long minimum, long maximum, long defaultValue) {
    Optional<String> value = optionalText(key);
    if (value.isEmpty()) {
      return defaultValue;
    }
    Optional<Long> quantity = unit.parse(value.get());
    if (quantity.isEmpty() || quantity.get() < minimum || quantity.get() > maximum) {
      error(
          placeOf(key),
          "'"
              + value.get()
              + "' is not "
              + unit.describe(minimum)
              + " to "
              + unit.describe(maximum)
              + " (units: "
              + unit.names()
              + ")");
      return defaultValue;
    }
    return quantity.get();
  }

  /**
   * Reads a constant of an enumeration with a default.
   *
   * @param <T> the enumeration
   * @param key the key
   * @param type the enumeration, whose constants are written in lower case with hyphens
   * @param defaultValue the value if the key is missing
   * @return the value
   */
  public <T extends Enum<T>> T choice(String key, Class<T> type, T defaultValue) {
    return optionalText(key)
        .map(value -> parseChoice(key, value, type, defaultValue))
        .orElse(defaultValue);
  }

  /**
   * Reads a required IP address and port.
   *
   * @param key the key
   * @return the address
   */
  public String address(String key) {
    String value = text(key);
    if (!value.isEmpty()) {
      checkAddress(placeOf(key), value);
    }
    return value;
  }

  /**
   * Reads an IP address and port with a default.
   *
   * @param key the key
   * @param defaultValue the value if the key is missing
   * @return the address
   */
  public String address(String key, String defaultValue) {
    Optional<String> value = optionalText(key);
    value.ifPresent(address -> checkAddress(placeOf(key), address));
    return value.orElse(defaultValue);
  }

  /**
   * Records an error if a text is not an IP address and port.
   *
   * @param at the place of the text
   * @param value the text
   */
  public void checkAddress(Place at, String value) {
    if (!isAddress(value)) {
      error(at, "'" + value + "' is not an IP number and port such as 10.0.1.10:8000");
    }
  }

  /**
   * Reads a required name.
   *
   * @param <T> the type of the name
   * @param key the key
   * @param constructor creates the name from its text
   * @return the name, or empty if it is missing or malformed
   */
  public <T> Optional<T> name(String key, Function<String, T> constructor) {
    String value = text(key);
    return value.isEmpty() ? Optional.empty() : parseName(placeOf(key), value, constructor);
  }

  /**
   * Parses a name.
   *
   * @param <T> the type of the name
   * @param at the place of the text
   * @param value the text
   * @param constructor creates the name from its text
   * @return the name, or empty if it is malformed
   */
  public <T> Optional<T> parseName(Place at, String value, Function<String, T> constructor) {
    try {
      return Optional.of(constructor.apply(value));
    } catch (IllegalArgumentException exception) {
      error(at, exception.getMessage());
      return Optional.empty();
    }
  }

  /** Reports an error for each key that has not been read. Must be called last. */
  public void reportUnknownKeys() {
    for (ConfigurationEntry entry : entries.values()) {
      if (!readKeys.contains(entry.key())) {
        error(entry.place(), "key '" + entry.key() + "' is unknown here");
      }
    }
  }

  /**
   * Indicates whether a text is an IP address and port.
   *
   * @param value the text
   * @return whether the text has the form of an address with a port up to 65535
   */
  public static boolean isAddress(String value) {
    if (!ADDRESS_FORMAT.matcher(value).matches()) {
      return false;
    }
    int colon = value.lastIndexOf(':');
    return Integer.parseInt(value.substring(colon + 1)) <= MAXIMUM_PORT
        && hasByteGroups(value.substring(0, colon));
  }

  private static boolean hasByteGroups(String number) {
    if (number.startsWith("[")) {
      return true;
    }
    for (String group : number.split("\\.")) {
      if (Integer.parseInt(group) > 255) {
        return false;
      }
    }
    return true;
  }

  private Optional<ConfigurationEntry> entry(String key) {
    readKeys.add(key);
    return Optional.ofNullable(entries.get(key));
  }

  private long parseNumber(String key, String value, long minimum, long maximum) {
    try {
      long number = Long.parseLong(value);
      if (number >= minimum && number <= maximum) {
        return number;
      }
    } catch (NumberFormatException exception) {
      // Reported below together with numbers out of range.
    }
    error(placeOf(key), "'" + value + "' is not a whole number from " + minimum + " to " + maximum);
    return minimum;
  }

  private double parseDecimal(String key, String value, double minimum, double maximum) {
    try {
      double number = Double.parseDouble(value);
      if (number >= minimum && number <= maximum) {
        return number;
      }
    } catch (NumberFormatException exception) {
      // Reported below together with numbers out of range.
    }
    error(placeOf(key), "'" + value + "' is not a number from " + minimum + " to " + maximum);
    return minimum;
  }

  private <T extends Enum<T>> T parseChoice(
      String key, String value, Class<T> type, T defaultValue) {
    return parseChoice(placeOf(key), value, type).orElse(defaultValue);
  }

  /**
   * Parses a constant of an enumeration.
   *
   * @param <T> the enumeration
   * @param at the place of the word
   * @param value the word, in lower case with hyphens
   * @param type the enumeration
   * @return the constant, or empty if the enumeration has no such constant
   */
  public <T extends Enum<T>> Optional<T> parseChoice(Place at, String value, Class<T> type) {
    List<String> words = new ArrayList<>();
    for (T constant : type.getEnumConstants()) {
      String word = keyword(constant);
      if (word.equals(value)) {
        return Optional.of(constant);
      }
      words.add(word);
    }
    error(at, "'" + value + "' is none of: " + String.join(", ", words));
    return Optional.empty();
  }

  /**
   * Returns the keyword that stands for a constant of an enumeration in files.
   *
   * @param constant the constant
   * @return the constant's name in lower case with hyphens
   */
  public static String keyword(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
