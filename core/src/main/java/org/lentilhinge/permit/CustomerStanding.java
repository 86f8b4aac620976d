package org.lentilhinge.permit;

/**
 * The standing of a customer among all customers, as of the sending host.
 *
 * @param name the customer's name
 * @param routePriority the priority of the route, which decides among requests of equal priority
 * @param relativeUse the recent use over all hosts, in proportion to the customer's share
 * @param elapsedMillis the time since the caller first sent the request, as far as its deadline
 *     shows, in milliseconds; at most the target time of the route. It decides among requests that
 *     are equal otherwise, so that one that returns after a refusal is not placed behind new ones.
 */
public record CustomerStanding(
    String name, int routePriority, double relativeUse, long elapsedMillis) {}
