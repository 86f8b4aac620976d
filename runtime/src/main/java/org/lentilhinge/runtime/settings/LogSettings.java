package org.lentilhinge.runtime.settings;

/**
 * The format and level of the log.
 *
 * @param format the format of a line
 * @param level the least severe level that is written
 */
public record LogSettings(LogFormat format, LogLevel level) {}
