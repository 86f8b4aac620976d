package org.lentilhinge.forward;

/**
 * A service's share of the requests of a route.
 *
 * @param service the service's name
 * @param weight its weight among the shares of the route; with 0 it gets no requests
 */
public record ServiceShare(String service, int weight) {}
