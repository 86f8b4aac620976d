package org.lentilhinge.demand;

/**
 * The recent demand for an adapter.
 *
 * @param adapter the adapter's name
 * @param requestsPerSecond the requests per second, without those that another engine had refused
 * @param load the prefill time of these requests per time, which is the number of engines that they
 *     occupy
 */
public record AdapterLoad(String adapter, double requestsPerSecond, double load) {}
