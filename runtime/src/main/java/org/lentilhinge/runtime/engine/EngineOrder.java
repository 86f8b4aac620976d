package org.lentilhinge.runtime.engine;

import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;

/**
 * An order to an engine to load or unload an adapter version.
 *
 * @param endpoint the engine
 * @param address its IP address and port, separated by a colon
 * @param adapter the adapter version
 * @param fencingToken the fencing token of the engine's owner
 */
public record EngineOrder(
    EndpointId endpoint, String address, AdapterVersion adapter, FencingToken fencingToken) {}
