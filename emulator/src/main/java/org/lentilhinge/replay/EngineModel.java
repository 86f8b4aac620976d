package org.lentilhinge.replay;

/**
 * The capacity and speed of a simulated engine.
 *
 * @param adapterSlots the number of adapter versions that can be loaded at the same time
 * @param batchSlots the number of requests that run at the same time
 * @param stepMillis the base duration of a decoding step without requests, in milliseconds
 * @param stepMillisPerRequest the time in milliseconds that each running request adds to a decoding
 *     step
 * @param prefillMillisPerToken the time in milliseconds that each prompt token adds to the decoding
 *     step that starts the request
 */
public record EngineModel(
    int adapterSlots,
    int batchSlots,
    double stepMillis,
    double stepMillisPerRequest,
    double prefillMillisPerToken) {}
