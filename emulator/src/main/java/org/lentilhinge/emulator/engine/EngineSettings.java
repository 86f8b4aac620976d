package org.lentilhinge.emulator.engine;

import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.EndpointId;

/**
 * Describes an engine.
 *
 * @param id its name
 * @param adapterSlots the number of adapter versions that it holds at once
 * @param batchSlots the number of requests that it runs at once
 * @param fencing whether it checks the fencing number of an order
 * @param reportLagMillis the age that its load report may reach, in milliseconds
 */
public record EngineSettings(
    EndpointId id,
    int adapterSlots,
    int batchSlots,
    FencingSupport fencing,
    long reportLagMillis) {}
