package org.lentilhinge.placement;

import org.lentilhinge.identity.AdapterVersion;

/**
 * A resident version, as presented to an eviction strategy.
 *
 * @param version the version
 * @param loadedMillis the monotonic time at which it became resident
 * @param lastUsedMillis the monotonic time of its last use
 * @param requestsPerSecond the request rate of the version on this engine
 */
public record ResidentVersion(
    AdapterVersion version, long loadedMillis, long lastUsedMillis, double requestsPerSecond) {}
