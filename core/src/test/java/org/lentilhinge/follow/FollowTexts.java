package org.lentilhinge.follow;

import java.util.ArrayList;
import java.util.List;

/** Creates texts of configurations for these tests. */
final class FollowTexts {

  private static final String HEAD =
      "[zone a]\nregion = r\n[engine e]\nzone = a\naddress = 127.0.0.1:1\nbase-model = m\n"
          + "adapter-slots = 8\nbatch-slots = 8\n";

  private FollowTexts() {}

  static String complete(long version) {
    return "[configuration]\nversion = " + version + "\n" + HEAD;
  }

  static String faulty(long version) {
    return complete(version) + "[engine f]\nzone = nowhere\n";
  }

  /** Creates a part with one adapter, whose version distinguishes texts of the same part. */
  static String part(int number, int adapterVersion) {
    return "[adapters m]\nadapter-" + number + " = " + adapterVersion + ", 48 MB\n";
  }

  static String manifest(long version, List<String> parts) {
    StringBuilder text = new StringBuilder(complete(version)).append("[parts]\n");
    for (int number = 0; number < parts.size(); number++) {
      text.append("part-").append(number).append(" = ");
      text.append(PartDigest.of(parts.get(number))).append('\n');
    }
    return text.toString();
  }

  static List<String> parts(int count) {
    List<String> parts = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      parts.add(part(number, 1));
    }
    return parts;
  }
}
