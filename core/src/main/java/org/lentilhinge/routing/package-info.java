/**
 * Routes requests to endpoints. A {@link org.lentilhinge.routing.RequestClassifier} maps a request
 * to an adapter version, a {@link org.lentilhinge.routing.FleetView} holds a gateway's view of the
 * engines, and a {@link org.lentilhinge.routing.RoutingStrategy} selects an endpoint.
 *
 * <p>A host calls {@code classify} once for each request, then {@code route} until the request runs
 * or is refused, and adds each endpoint that declined to the request's excluded endpoints. It
 * applies each {@link org.lentilhinge.placement.EngineAnnouncement} to the fleet view and records
 * its own dispatches there, because announcements lag behind them.
 */
package org.lentilhinge.routing;
