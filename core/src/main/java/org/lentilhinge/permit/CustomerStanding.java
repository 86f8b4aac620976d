package org.lentilhinge.permit;

/**
 * The standing of a customer among all customers, as of the sending host.
 *
 * @param name the customer's name
 * @param routePriority the priority of the route, which decides among requests of equal priority
 * @param relativeUse the recent use over all hosts, in proportion to the customer's share
 */
public record CustomerStanding(String name, int routePriority, double relativeUse) {}
