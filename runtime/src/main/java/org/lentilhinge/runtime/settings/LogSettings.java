package org.lentilhinge.runtime.settings;

/**
 * The format and level of the log.
 *
 * @param form the format of a line
 * @param level the least severe level that is written
 */
public record LogSettings(LogForm form, LogLevel level) {}
