package org.lentilhinge.runtime.peer;

/**
 * The intervals and timeouts of the links, in milliseconds.
 *
 * @param tickIntervalMillis the interval at which the timers of the links are checked
 * @param pingIntervalMillis the interval between pings on a link
 * @param silenceTimeoutMillis how long the other end may send nothing, not even responses to pings,
 *     before the link is closed
 * @param handshakeTimeoutMillis the timeout of connecting and the handshake together
 * @param minimumBackoffMillis the backoff after the first failure to connect
 * @param maximumBackoffMillis the maximum backoff between two attempts to connect
 * @param idleTimeoutMillis how long a link to another zone stays open without a message being sent
 */
public record PeerTimings(
    long tickIntervalMillis,
    long pingIntervalMillis,
    long silenceTimeoutMillis,
    long handshakeTimeoutMillis,
    long minimumBackoffMillis,
    long maximumBackoffMillis,
    long idleTimeoutMillis) {

  /** The default intervals and timeouts. */
  public static final PeerTimings DEFAULT =
      new PeerTimings(50, 500, 1_500, 2_000, 50, 2_000, 60_000);
}
