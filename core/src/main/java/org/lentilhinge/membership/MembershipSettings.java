package org.lentilhinge.membership;

/**
 * The intervals of membership.
 *
 * @param heartbeatMillis the interval between heartbeats within the zone, in milliseconds
 * @param suspectMillis the time without heartbeats after which a host is suspect, in milliseconds
 * @param goneMillis the time without heartbeats after which a host is gone, in milliseconds
 * @param summaryMillis the interval between summaries to other zones, in milliseconds
 * @param delegates the number of hosts of a zone that exchange summaries with another zone
 * @param leavingRetentionMillis the retention time of leaving hosts and endpoints, in milliseconds
 */
public record MembershipSettings(
    long heartbeatMillis,
    long suspectMillis,
    long goneMillis,
    long summaryMillis,
    int delegates,
    long leavingRetentionMillis) {

  private static final long HEARTBEAT_MILLIS = 1_000;
  private static final long SUSPECT_MILLIS = 3_500;
  private static final long GONE_MILLIS = 10_000;
  private static final long SUMMARY_MILLIS = 5_000;
  private static final int DELEGATES = 2;
  private static final long LEAVING_RETENTION_MILLIS = 60_000;

  /**
   * Returns the default settings.
   *
   * @return the settings
   */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        HEARTBEAT_MILLIS,
        SUSPECT_MILLIS,
        GONE_MILLIS,
        SUMMARY_MILLIS,
        DELEGATES,
        LEAVING_RETENTION_MILLIS);
  }
}
