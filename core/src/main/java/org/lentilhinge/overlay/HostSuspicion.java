package org.lentilhinge.overlay;

/**
 * States that a host does not respond. The host refutes it with a higher version of its record.
 *
 * @param host the host
 * @param version the version of the host's record that is suspected
 */
public record HostSuspicion(String host, long version) {}
