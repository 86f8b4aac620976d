package org.lentilhinge.emulator.load;

/**
 * The measurements of a load run. Times are in microseconds.
 *
 * @param completedRequests the number of complete responses
 * @param failedRequests the number of requests without a complete response
 * @param requestsPerSecond the number of complete responses per second
 * @param firstByteMedianMicros the median time to the first byte
 * @param firstByteP99Micros the 99th percentile of the time to the first byte
 * @param responseMedianMicros the median time to the complete response
 * @param responseP99Micros the 99th percentile of the time to the complete response
 */
public record LoadReport(
    int completedRequests,
    int failedRequests,
    double requestsPerSecond,
    long firstByteMedianMicros,
    long firstByteP99Micros,
    long responseMedianMicros,
    long responseP99Micros) {}
