package org.lentilhinge.emulator.load;

/**
 * The measurements of a load run. Times are in microseconds.
 *
 * @param requests the number of complete responses
 * @param failures the number of requests without a complete response
 * @param requestsPerSecond the number of complete responses per second
 * @param firstByteHalf the median time to the first byte
 * @param firstByteNinetyNine the 99th percentile of the time to the first byte
 * @param wholeHalf the median time to the complete response
 * @param wholeNinetyNine the 99th percentile of the time to the complete response
 */
public record LoadReport(
    int requests,
    int failures,
    double requestsPerSecond,
    long firstByteHalf,
    long firstByteNinetyNine,
    long wholeHalf,
    long wholeNinetyNine) {}
