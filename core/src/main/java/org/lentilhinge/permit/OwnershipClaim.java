package org.lentilhinge.permit;

/**
 * What a host last stated about its ownership of an engine.
 *
 * @param host the host that claims the engine
 * @param fencingToken the fencing token of its orders; 0 if it did not state one
 * @param heardAtMillis the time at which the statement arrived, in milliseconds
 */
public record OwnershipClaim(String host, long fencingToken, long heardAtMillis) {}
