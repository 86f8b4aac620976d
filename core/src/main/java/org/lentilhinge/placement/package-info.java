/**
 * Decides which versions are resident on an engine. The owner has one {@link
 * org.lentilhinge.placement.EndpointPlacement} for each engine, and one {@link
 * org.lentilhinge.placement.PlacementScheduler} for all engines that it owns, which uses the host's
 * share of the store budget for the highest-ranked loads.
 *
 * <p>A host passes in the gateways' requests for versions, the engines' responses to load and
 * unload orders, and the engines' reports, and carries out the returned {@link
 * org.lentilhinge.placement.PlacementCommand}s. It calls {@code advance} at least every 50 ms.
 */
package org.lentilhinge.placement;
