package org.lentilhinge.runtime.settings;

/** The severity levels of log lines, from the most to the least severe. */
public enum LogLevel {
  /** A condition that requires action by an operator. */
  ERROR,
  /** A condition that may require action by an operator. */
  WARNING,
  /** A decision, such as a routing or placement decision. */
  INFO,
  /** A detail for troubleshooting. */
  DEBUG
}
