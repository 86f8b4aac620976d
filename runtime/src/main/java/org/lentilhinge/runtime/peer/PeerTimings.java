package org.lentilhinge.runtime.peer;

/**
 * The intervals and timeouts of the links, in milliseconds.
 *
 * @param tickMillis the interval at which the timers of the links are checked
 * @param heartbeatMillis the interval between pings on a link
 * @param silenceMillis how long the other end may send nothing, not even responses to pings, before
 *     the link is closed
 * @param handshakeMillis the timeout of connecting and the handshake together
 * @param minimumBackoffMillis the backoff after the first failure to connect
 * @param maximumBackoffMillis the maximum backoff between two attempts to connect
 * @param idleMillis how long a link to another zone stays open without a message being sent
 */
public record PeerTimings(
    long tickMillis,
    long heartbeatMillis,
    long silenceMillis,
    long handshakeMillis,
    long minimumBackoffMillis,
    long maximumBackoffMillis,
    long idleMillis) {

  /** The default intervals and timeouts. */
  public static final PeerTimings DEFAULT =
      new PeerTimings(50, 500, 1_500, 2_000, 50, 2_000, 60_000);
}
