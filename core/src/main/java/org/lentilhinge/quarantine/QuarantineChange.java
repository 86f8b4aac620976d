package org.lentilhinge.quarantine;

import java.util.List;

/**
 * A change of the quarantine, for the log.
 *
 * @param cause why it changed
 * @param parts the parts that a request must have to be refused
 * @param crashes the number of crashes that this host attributes to them; 0 if another host decided
 */
public record QuarantineChange(Cause cause, List<String> parts, int crashes) {

  /** The causes of changes. */
  public enum Cause {
    /** Engines crashed on requests with these parts, and on hardly any others. */
    CRASHES,
    /** Another host decided it. */
    OTHER_HOST,
    /** A request with these parts survived, so that the quarantine has ended. */
    SURVIVED
  }

  /**
   * Copies the parts.
   *
   * @param cause the cause
   * @param parts the parts
   * @param crashes the number of crashes
   */
  public QuarantineChange {
    parts = List.copyOf(parts);
  }
}
