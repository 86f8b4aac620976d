package org.lentilhinge.allowance;

/**
 * Whether a request is within the quota of its customer.
 *
 * @param admitted whether the request may run
 * @param retryMillis the time until its units are available, in milliseconds; 0 if it may run
 * @param debt the units that the customer has used and not yet regained
 * @param share the share of the quota that this host may use
 */
public record AllowanceDecision(boolean admitted, long retryMillis, double debt, double share) {}
