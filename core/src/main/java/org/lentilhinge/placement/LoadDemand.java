package org.lentilhinge.placement;

import org.lentilhinge.identity.AdapterVersion;

/**
 * A load that is pending on an engine.
 *
 * @param version the version
 * @param reason the reason for the load
 * @param pendingSinceMillis the monotonic time since which the load has been pending, in
 *     milliseconds
 * @param waitingRequestSeconds the sum of the times that the waiting requests have waited so far,
 *     in seconds, weighted by urgency
 */
public record LoadDemand(
    AdapterVersion version,
    PlacementReason reason,
    long pendingSinceMillis,
    double waitingRequestSeconds) {}
