package org.lentilhinge.limit;

/**
 * The request limit of one endpoint, as a host tells it to the others.
 *
 * @param incarnation the incarnation of the endpoint
 * @param limit the limit that its latest response states
 */
public record EndpointLimit(String incarnation, RequestLimit limit) {}
