package org.lentilhinge.identity;

/**
 * The version of a published configuration. A higher version replaces a lower one, never the
 * reverse.
 *
 * @param number the version number, at least 0; 0 precedes the first published version
 */
public record ConfigurationVersion(long number) implements Comparable<ConfigurationVersion> {

  /** The version on a host that has not received a configuration yet. */
  public static final ConfigurationVersion NONE = new ConfigurationVersion(0);

  @Override
  public int compareTo(ConfigurationVersion other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
