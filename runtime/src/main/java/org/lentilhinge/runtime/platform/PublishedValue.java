package org.lentilhinge.runtime.platform;

/**
 * A value that the configuration service publishes.
 *
 * @param text the value
 * @param revision the revision of the value in the service, which increases with each change
 */
public record PublishedValue(String text, long revision) {}
