package org.lentilhinge.finding;

import java.util.ArrayList;
import java.util.List;

/** Collects the findings of one check. This class is not thread-safe. */
public final class FindingCollector {

  private final List<Finding> list = new ArrayList<>();

  /**
   * Adds an error.
   *
   * @param place the place of the error
   * @param message the description of the error
   */
  public void error(Place place, String message) {
    list.add(new Finding(place, Severity.ERROR, message));
  }

  /**
   * Adds a warning.
   *
   * @param place the place of the problem
   * @param message the description of the problem
   */
  public void warning(Place place, String message) {
    list.add(new Finding(place, Severity.WARNING, message));
  }

  /**
   * Adds all findings of another check.
   *
   * @param findings the findings
   */
  public void addAll(Findings findings) {
    list.addAll(findings.list());
  }

  /**
   * Returns the number of collected findings.
   *
   * @return the number of findings
   */
  public int size() {
    return list.size();
  }

  /**
   * Returns the collected findings.
   *
   * @return all findings that were added so far
   */
  public Findings findings() {
    return new Findings(list);
  }
}
