package org.lentilhinge.overlay;

/**
 * A host that another one knows as live.
 *
 * @param host the host's name
 * @param version the version of its record
 */
public record KnownHost(String host, long version) {}
