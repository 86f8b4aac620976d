package org.lentilhinge.runtime.settings;

/**
 * The settings of a planned stop.
 *
 * @param drainTimeoutMillis the maximum wait for running requests, in milliseconds
 */
public record StopSettings(long drainTimeoutMillis) {}
