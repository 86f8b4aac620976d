package org.lentilhinge.finding;

/** The severities of findings. */
public enum Severity {
  /** The complete file is rejected. */
  ERROR,
  /** The file is accepted, but probably does not have the intended meaning. */
  WARNING
}
