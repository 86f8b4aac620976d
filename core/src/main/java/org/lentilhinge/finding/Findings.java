package org.lentilhinge.finding;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * All findings of one check.
 *
 * @param list the findings, in the order in which they were added
 */
public record Findings(List<Finding> list) {

  /** No findings. */
  public static final Findings NONE = new Findings(List.of());

  /**
   * Copies the list.
   *
   * @param list the findings
   */
  public Findings {
    list = List.copyOf(list);
  }

  /**
   * Returns whether the checked file must be rejected.
   *
   * @return whether any finding is an error
   */
  public boolean hasErrors() {
    return list.stream().anyMatch(finding -> finding.severity() == Severity.ERROR);
  }

  /**
   * Returns the number of findings of a severity.
   *
   * @param severity the severity
   * @return the number of findings
   */
  public long count(Severity severity) {
    return list.stream().filter(finding -> finding.severity() == severity).count();
  }

  /**
   * Combines the findings of two checks.
   *
   * @param later the findings of the second check
   * @return the findings of this check followed by those of the second one
   */
  public Findings plus(Findings later) {
    return new Findings(Stream.concat(list.stream(), later.list.stream()).toList());
  }

  @Override
  public String toString() {
    return list.stream().map(Finding::toString).collect(Collectors.joining("\n"));
  }
}
