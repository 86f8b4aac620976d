package org.lentilhinge.attempt;

/**
 * The limits on the attempts of one request.
 *
 * @param firstChunkMillis the maximum wait for an attempt's first chunk, in milliseconds
 * @param nextChunkMillis the maximum wait between two chunks, in milliseconds
 * @param maximumAttempts the maximum number of attempts
 * @param retryAfterMillis the time after which a caller whose request was abandoned should retry,
 *     in milliseconds
 */
public record AttemptLimits(
    long firstChunkMillis, long nextChunkMillis, int maximumAttempts, long retryAfterMillis) {

  /** The limits that apply unless the settings specify others. */
  public static final AttemptLimits DEFAULT = new AttemptLimits(5_000, 2_000, 4, 1_000);
}
