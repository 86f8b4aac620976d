package org.lentilhinge.runtime.settings;

/**
 * The settings of a planned stop.
 *
 * @param drainMillis the maximum wait for running requests, in milliseconds
 */
public record StopSettings(long drainMillis) {}
