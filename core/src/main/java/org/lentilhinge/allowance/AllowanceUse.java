package org.lentilhinge.allowance;

/**
 * What one host has admitted of one customer's requests. The counters only increase, so that lost
 * and repeated reports are harmless.
 *
 * @param customer the name of the customer
 * @param admitted the units of the requests admitted since the start of the host
 * @param refunded the units of those that were refused afterwards without having run
 * @param requested the units of all requests since the start of the host, admitted or not, where a
 *     request counts its customer's burst at most
 * @param lastSecond the units that were admitted and not refunded in the last second
 */
public record AllowanceUse(
    String customer, long admitted, long refunded, long requested, long lastSecond) {}
