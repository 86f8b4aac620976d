package org.lentilhinge.replay;

/**
 * A caller of a workload.
 *
 * @param name the caller's name
 * @param weight the caller's share of the adapters, and so of the arrivals, relative to the other
 *     callers' weights
 * @param inFarRegion whether the caller is in the region without the weight store
 * @param urgentFraction the fraction of the caller's adapters whose requests are urgent
 * @param backgroundFraction the fraction of the caller's adapters whose requests have urgency
 *     background, which means that no user waits for the response
 */
public record WorkloadCaller(
    String name,
    int weight,
    boolean inFarRegion,
    double urgentFraction,
    double backgroundFraction) {}
