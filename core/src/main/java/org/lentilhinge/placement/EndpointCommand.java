package org.lentilhinge.placement;

import org.lentilhinge.identity.EndpointId;

/**
 * A placement command and the engine that it concerns.
 *
 * @param endpoint the engine
 * @param command the command
 */
public record EndpointCommand(EndpointId endpoint, PlacementCommand command) {}
