package org.lentilhinge.forward;

/**
 * Bounds what a caller may send.
 *
 * @param headerBytes the largest size of a request's line and headers, in bytes
 * @param bodyBytes the largest size of a request's body, in bytes
 * @param headerMillis the longest time that the headers may take, in milliseconds
 * @param idleMillis the longest time that a connection may stay idle, in milliseconds
 */
public record ForwardLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {

  /** Holds until a configuration is known; wide enough for any caller that keeps the usual. */
  public static final ForwardLimits DEFAULT = new ForwardLimits(65_536, 8_388_608, 5_000, 60_000);
}
