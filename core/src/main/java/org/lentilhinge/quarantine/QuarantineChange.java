package org.lentilhinge.quarantine;

import java.util.List;

/**
 * A change of the quarantine, for the log.
 *
 * @param cause why it changed
 * @param parts the parts that a request must have to be refused; empty if a digest is refused
 * @param digest the digest of the requests that are refused; an empty string if parts are refused
 * @param crashes the number of crashes that this host attributes to them; 0 if another host decided
 */
public record QuarantineChange(Cause cause, List<String> parts, String digest, int crashes) {

  /** The causes of changes. */
  public enum Cause {
    /** Endpoints crashed on these requests. */
    CRASHES,
    /** Another host decided it. */
    OTHER_HOST,
    /** Such a request survived, so that the quarantine has ended. */
    SURVIVED,
    /** Endpoints that seemed to have crashed go on, so that the quarantine has ended. */
    NO_CRASHES
  }

  /**
   * Copies the parts.
   *
   * @param cause the cause
   * @param parts the parts
   * @param digest the digest
   * @param crashes the number of crashes
   */
  public QuarantineChange {
    parts = List.copyOf(parts);
  }
}
