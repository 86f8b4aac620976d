package org.lentilhinge.emulator.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Loads the configuration of a loopback fleet. */
public final class FleetConfiguration {

  private static final String RESOURCE = "configuration.ini";

  private FleetConfiguration() {}

  /**
   * Loads the configuration text and fills in the addresses of the emulators.
   *
   * @param addresses the IP addresses and ports by endpoint name
   * @return the text
   */
  static String load(Map<String, String> addresses) {
    String text = readTemplate();
    for (Map.Entry<String, String> address : addresses.entrySet()) {
      text = text.replace("{" + address.getKey() + "}", address.getValue());
    }
    return text;
  }

  /**
   * Returns a copy of a configuration text with the next version.
   *
   * @param text the text
   * @param version the current version of the text
   * @return the text with the next version
   */
  public static String withNextVersion(String text, int version) {
    return text.replace("\nversion = " + version + "\n", "\nversion = " + (version + 1) + "\n");
  }

  private static String readTemplate() {
    try (InputStream stream = FleetConfiguration.class.getResourceAsStream(RESOURCE)) {
      return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException exception) {
      throw new UncheckedIOException("cannot read " + RESOURCE, exception);
    }
  }
}
