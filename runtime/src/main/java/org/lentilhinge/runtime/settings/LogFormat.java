package org.lentilhinge.runtime.settings;

/** The formats of a log line. */
public enum LogFormat {
  /** Plain text with {@code key=value} pairs. */
  TEXT,
  /** One JSON object. */
  JSON
}
