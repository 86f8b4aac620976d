package org.lentilhinge.runtime.engine;

import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;

/**
 * Orders an engine to load or unload an adapter version.
 *
 * @param endpoint the engine
 * @param address its IP number and port, separated by a colon
 * @param adapter the adapter version
 * @param fencing the owner's fencing number
 */
public record EngineOrder(
    EndpointId endpoint, String address, AdapterVersion adapter, FencingToken fencing) {}
