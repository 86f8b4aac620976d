package org.lentilhinge.replay;

/**
 * The results of one contender in one case.
 *
 * @param offered the number of requests that arrived
 * @param completed the number of requests that were answered completely
 * @param refused the number of requests that were refused
 * @param lost the number of requests that were lost with their entry host
 * @param stalls the waiting times, in milliseconds, of the requests that waited for an adapter load
 * @param firstTokens the times from arrival to first token of the completed requests, in
 *     milliseconds
 * @param stalledSeconds the sum of the waiting times for adapter loads, in seconds
 * @param meanOccupiedSlots the mean number of occupied batch slots of an engine while the engine
 *     decodes
 * @param tokensPerStep the mean number of tokens that a decoding step generates
 * @param tokens the number of tokens generated during the measured time
 * @param loads the number of adapter loads started during the measured time
 * @param linkBytes the bytes sent over the link between the regions during the measured time
 * @param worstCallerCompletionRatio the smallest completion rate of a caller, relative to the
 *     completion rate of all requests
 */
record ReplayResult(
    int offered,
    int completed,
    int refused,
    int lost,
    Percentiles stalls,
    Percentiles firstTokens,
    double stalledSeconds,
    double meanOccupiedSlots,
    double tokensPerStep,
    long tokens,
    int loads,
    long linkBytes,
    double worstCallerCompletionRatio) {

  double stalledFraction() {
    return stalls.count() / (double) Math.max(1, offered);
  }
}
