package org.lentilhinge.forward;

/**
 * Gives a service a share of a route's requests.
 *
 * @param service the service's name
 * @param weight its weight among the route's shares; 0 sends it nothing
 */
public record ServiceShare(String service, int weight) {}
