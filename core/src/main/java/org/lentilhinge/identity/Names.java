package org.lentilhinge.identity;

import java.util.regex.Pattern;

/** Checks the format of names. */
final class Names {

  private static final int MAXIMUM_LENGTH = 128;
  private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9._-]+");

  private Names() {}

  static void check(String kind, String value) {
    if (value.length() > MAXIMUM_LENGTH) {
      throw new IllegalArgumentException(
          kind + " name is longer than " + MAXIMUM_LENGTH + " characters");
    }
    if (!FORMAT.matcher(value).matches()) {
      throw new IllegalArgumentException(kind + " name is malformed: '" + value + "'");
    }
  }
}
