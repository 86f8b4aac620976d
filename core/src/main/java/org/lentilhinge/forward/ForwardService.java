package org.lentilhinge.forward;

import java.util.Optional;

/**
 * A declared service.
 *
 * @param name the name by which routes refer to it
 * @param maximumConnections the maximum number of connections to one endpoint from all hosts
 *     together
 * @param engine the capacity of its engines, or empty for a plain service
 */
public record ForwardService(
    String name, int maximumConnections, Optional<EngineCapacity> engine) {}
