package org.lentilhinge.routing;

import org.lentilhinge.identity.EndpointId;

/** The decision of a routing strategy on a request. */
public sealed interface RoutingDecision {

  /**
   * Returns the reason for the decision.
   *
   * @return the reason, for the decision log
   */
  RoutingReason reason();

  /**
   * Dispatches the request to an endpoint on which the adapter version is resident. A gateway
   * without a grant first requests one from the endpoint's owner, which can issue it at once.
   *
   * @param endpoint the endpoint
   * @param reason the reason
   */
  record UseResident(EndpointId endpoint, RoutingReason reason) implements RoutingDecision {}

  /**
   * Requests a grant from the owner of an endpoint, which can issue it only after the adapter
   * version has been loaded.
   *
   * @param endpoint the endpoint
   * @param reason the reason
   */
  record RequestLoad(EndpointId endpoint, RoutingReason reason) implements RoutingDecision {}

  /**
   * Keeps the request in the gateway's queue.
   *
   * @param retryAfterMillis the time after which the request is routed again at the latest, in
   *     milliseconds
   * @param reason the reason
   */
  record Wait(long retryAfterMillis, RoutingReason reason) implements RoutingDecision {}

  /**
   * Refuses the request at once, without running it.
   *
   * @param retryAfterMillis the time after which the caller may retry, in milliseconds
   * @param reason the reason
   */
  record Refuse(long retryAfterMillis, RoutingReason reason) implements RoutingDecision {}
}
