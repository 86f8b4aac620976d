package org.lentilhinge.configuration;

import org.lentilhinge.identity.CallerId;

/**
 * The declaration of a caller.
 *
 * @param id the caller's identifier
 * @param keyDigest the SHA-256 digest of the caller's API key, 64 hexadecimal digits in lower case
 * @param share the caller's share of a contended endpoint, relative to the other callers' shares
 * @param maximumConcurrent the maximum number of concurrent requests of the caller per entry host
 */
public record Caller(CallerId id, String keyDigest, int share, int maximumConcurrent) {}
