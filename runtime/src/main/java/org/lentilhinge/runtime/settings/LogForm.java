package org.lentilhinge.runtime.settings;

/** The formats of a log line. */
public enum LogForm {
  /** Plain text with {@code key=value} pairs. */
  TEXT,
  /** One JSON object. */
  JSON
}
