package org.lentilhinge.forward;

/**
 * The limits on what a caller may send.
 *
 * @param headerBytes the maximum size of the request line and headers, in bytes
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the timeout for receiving the headers, in milliseconds
 * @param idleTimeoutMillis the timeout of an idle connection, in milliseconds
 */
public record ForwardLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** The limits until a configuration is known; requests of ordinary callers stay within them. */
  public static final ForwardLimits DEFAULT = new ForwardLimits(65_536, 8_388_608, 5_000, 60_000);
}
