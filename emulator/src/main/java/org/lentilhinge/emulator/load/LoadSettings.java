package org.lentilhinge.emulator.load;

/**
 * The number, concurrency and response length of generated requests.
 *
 * @param requests the number of measured requests
 * @param warmUpRequests the number of requests that are sent before the measured ones and are not
 *     measured
 * @param concurrency the number of requests in flight at the same time
 * @param tokens the length of each response in tokens
 */
public record LoadSettings(int requests, int warmUpRequests, int concurrency, int tokens) {}
