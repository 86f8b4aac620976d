package org.lentilhinge.configuration;

/**
 * The targets of placement and routing. The two weights are relative to each other.
 *
 * @param stallWeight the weight of a request's wait for an adapter load
 * @param batchWeight the weight of an idle batch slot
 * @param maximumQueueMillis the maximum wait of a request for a batch slot, in milliseconds
 * @param maximumRequestMillis the maximum run time of a request on an engine, in milliseconds
 */
public record Policy(
    double stallWeight, double batchWeight, long maximumQueueMillis, long maximumRequestMillis) {}
