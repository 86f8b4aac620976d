package org.lentilhinge.replay;

import org.lentilhinge.configuration.Engine;
import org.lentilhinge.placement.EndpointPlacement;
import org.lentilhinge.placement.EngineAnnouncer;
import org.lentilhinge.placement.PlacementScheduler;

/**
 * An engine of the replay with the state of its owner.
 *
 * @param engine the engine's declaration
 * @param simulated the simulated engine
 * @param grants the owner's ledger of grants
 * @param placement the owner's placement decisions
 * @param scheduler the owner's scheduler
 * @param announcer composes the owner's announcements
 */
record ReplayEngine(
    Engine engine,
    SimulatedEngine simulated,
    GrantTable grants,
    EndpointPlacement placement,
    PlacementScheduler scheduler,
    EngineAnnouncer announcer) {}
