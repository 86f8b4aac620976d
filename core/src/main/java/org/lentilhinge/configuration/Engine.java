package org.lentilhinge.configuration;

import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.ZoneId;

/**
 * The declaration of a model engine, an endpoint that runs adapters.
 *
 * @param id the identifier of the engine's endpoint
 * @param zone the availability zone of the engine
 * @param address the engine's IP address and port, separated by a colon
 * @param baseModel the base model that the engine runs
 * @param adapterSlots the maximum number of adapter versions loaded at the same time
 * @param batchSlots the maximum number of requests running at the same time
 * @param fencing whether the engine checks the fencing token of an order
 */
public record Engine(
    EndpointId id,
    ZoneId zone,
    String address,
    BaseModelId baseModel,
    int adapterSlots,
    int batchSlots,
    FencingSupport fencing) {}
