package org.lentilhinge.grant;

/**
 * The intervals of use grants, which must be equal on all hosts.
 *
 * @param grantMillis the time for which a grant is valid at its owner, in milliseconds
 * @param driftMarginMillis how much earlier than its owner a gateway treats a grant as expired, in
 *     milliseconds
 * @param replyTimeoutMillis the time for which a gateway waits for the reply of an owner, in
 *     milliseconds
 * @param loadTimeoutMillis the time for which a gateway waits after the owner has reported that it
 *     is loading the version, in milliseconds
 * @param idleTimeoutMillis the time for which a gateway keeps an unused grant, in milliseconds
 * @param maximumRequestMillis the maximum duration of a request on an engine, in milliseconds
 */
public record GrantSettings(
    long grantMillis,
    long driftMarginMillis,
    long replyTimeoutMillis,
    long loadTimeoutMillis,
    long idleTimeoutMillis,
    long maximumRequestMillis) {

  private static final long GRANT_MILLIS = 30_000;
  private static final long DRIFT_MARGIN_MILLIS = 500;
  private static final long REPLY_TIMEOUT_MILLIS = 2_000;
  private static final long LOAD_TIMEOUT_MILLIS = 15_000;
  private static final long IDLE_TIMEOUT_MILLIS = 15_000;

  /**
   * Returns the default settings.
   *
   * @param maximumRequestMillis the maximum duration of a request on an engine, in milliseconds
   * @return the settings
   */
  public static GrantSettings defaults(long maximumRequestMillis) {
    return new GrantSettings(
        GRANT_MILLIS,
        DRIFT_MARGIN_MILLIS,
        REPLY_TIMEOUT_MILLIS,
        LOAD_TIMEOUT_MILLIS,
        IDLE_TIMEOUT_MILLIS,
        maximumRequestMillis);
  }

  /**
   * Returns the time after which all grants of a former owner, and the requests that ran under
   * them, have ended.
   *
   * @return the duration in milliseconds
   */
  public long maximumPinMillis() {
    return grantMillis + maximumRequestMillis + driftMarginMillis;
  }
}
