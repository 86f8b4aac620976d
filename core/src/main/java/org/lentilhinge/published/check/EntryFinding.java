package org.lentilhinge.published.check;

import java.util.List;
import org.lentilhinge.finding.Severity;

/**
 * A problem in a published configuration.
 *
 * @param severity the severity
 * @param references the part with the problem, followed by the parts that it conflicts with
 * @param message the description of the problem, which never contains a key of a customer
 */
public record EntryFinding(Severity severity, List<EntryReference> references, String message) {

  /**
   * Copies the references.
   *
   * @param severity the severity
   * @param references the references
   * @param message the message
   */
  public EntryFinding {
    references = List.copyOf(references);
  }

  /**
   * Returns an error.
   *
   * @param message the message
   * @param references the references
   * @return the finding
   */
  static EntryFinding error(String message, EntryReference... references) {
    return new EntryFinding(Severity.ERROR, List.of(references), message);
  }

  /**
   * Returns a warning.
   *
   * @param message the message
   * @param references the references
   * @return the finding
   */
  static EntryFinding warning(String message, EntryReference... references) {
    return new EntryFinding(Severity.WARNING, List.of(references), message);
  }

  /**
   * Returns the part with the problem.
   *
   * @return the first reference
   */
  public EntryReference subject() {
    return references.get(0);
  }
}
