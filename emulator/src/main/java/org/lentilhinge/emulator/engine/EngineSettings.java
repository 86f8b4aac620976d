package org.lentilhinge.emulator.engine;

import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.EndpointId;

/**
 * The capacity and behaviour of an emulated engine.
 *
 * @param id the engine's endpoint id
 * @param adapterSlots the number of adapter versions that can be loaded at the same time
 * @param batchSlots the number of requests that run at the same time
 * @param fencing whether the engine checks the fencing token of an order
 * @param reportLagMillis the maximum age of the load report in milliseconds
 */
public record EngineSettings(
    EndpointId id,
    int adapterSlots,
    int batchSlots,
    FencingSupport fencing,
    long reportLagMillis) {}
