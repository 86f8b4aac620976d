package org.lentilhinge.forward;

import java.util.Optional;

/**
 * Declares a service.
 *
 * @param name the name that routes use
 * @param maximumConnections the connections that one endpoint takes from all hosts together
 * @param engine what its engines can hold, or empty for a plain service
 */
public record ForwardService(String name, int maximumConnections, Optional<EngineTraits> engine) {}
