package org.lentilhinge.finding;

/**
 * A place in a declarative file.
 *
 * @param file the name of the file, or the key under which the platform publishes the file's text
 * @param section the section, or an empty string outside of all sections
 * @param key the key, or an empty string for the complete section
 * @param line the line number, from 1, or 0 for the complete file
 */
public record Place(String file, String section, String key, int line) {

  /**
   * Creates the place of a complete file.
   *
   * @param file the file
   * @return the place
   */
  public static Place ofFile(String file) {
    return new Place(file, "", "", 0);
  }

  /**
   * Creates the place of a complete section.
   *
   * @param file the file
   * @param section the section
   * @param line the line of the section's header
   * @return the place
   */
  public static Place ofSection(String file, String section, int line) {
    return new Place(file, section, "", line);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(file);
    if (line > 0) {
      text.append(':').append(line);
    }
    if (!section.isEmpty()) {
      text.append(" [").append(section).append(']');
    }
    if (!key.isEmpty()) {
      text.append(' ').append(key);
    }
    return text.toString();
  }
}
