package org.lentilhinge.permit;

import java.util.Optional;

/**
 * What a host states about a request for the decisions under shortage. A permit request without
 * terms is decided by its target time alone.
 *
 * @param customer the standing of the request's customer, if customers are declared
 * @param maximumWaitMillis the longest expected wait for which the request is accepted, in
 *     milliseconds; 0 if not stated
 * @param repeated whether another engine has refused the request before
 */
public record PermitTerms(
    Optional<CustomerStanding> customer, long maximumWaitMillis, boolean repeated) {}
