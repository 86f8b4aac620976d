package org.lentilhinge.placement;

import org.lentilhinge.identity.AdapterVersion;

/**
 * A resident version, as presented to an eviction strategy.
 *
 * @param version the version
 * @param loadedAtMillis the monotonic time at which the version became resident, in milliseconds
 * @param lastUsedAtMillis the monotonic time of the version's last use, in milliseconds
 * @param requestsPerSecond the request rate of the version on this engine
 */
public record ResidentVersion(
    AdapterVersion version, long loadedAtMillis, long lastUsedAtMillis, double requestsPerSecond) {}
