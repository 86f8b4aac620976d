package org.lentilhinge.zone;

/**
 * This host's part of the bandwidth between regions, as a token bucket. All bytes of a request
 * count, in both directions, and the parts of all hosts of all regions add up to the bound of one
 * direction. The traffic in each direction therefore stays below it without messages between hosts.
 */
public final class RegionTrafficBudget {

  private static final double BYTES_PER_MILLI_AT_MEGABIT = 125;

  /** The time whose bytes may be used at once: the peak of a burst of requests. */
  private static final double BURST_MILLIS = 1_000;

  private final boolean unbounded;
  private final double regionBytesPerMilli;
  private double available;
  private double burst;
  private long updatedAtMillis;

  /**
   * Creates a budget that is empty, as the host may have been restarted just now.
   *
   * @param settings the operators' terms
   * @param nowMillis the current time, in milliseconds
   */
  public RegionTrafficBudget(ZoneTrafficSettings settings, long nowMillis) {
    unbounded = settings.regionBandwidth() == 0;
    regionBytesPerMilli =
        settings.regionBandwidth() * settings.regionBandwidthShare() * BYTES_PER_MILLI_AT_MEGABIT;
    updatedAtMillis = nowMillis;
  }

  /**
   * Returns whether another request may be sent to another region.
   *
   * @param hostCount the number of hosts that share the bandwidth
   * @param nowMillis the current time, in milliseconds
   * @return whether bytes are left, or the bandwidth is not bounded
   */
  public boolean hasRoom(int hostCount, long nowMillis) {
    if (unbounded) {
      return true;
    }
    double bytesPerMilli = regionBytesPerMilli / Math.max(1, hostCount);
    double filled = available + bytesPerMilli * Math.max(0, nowMillis - updatedAtMillis);
    burst = bytesPerMilli * BURST_MILLIS;
    available = Math.min(filled, burst);
    updatedAtMillis = nowMillis;
    return available > 0;
  }

  /**
   * Records that a request is sent to another region. The last one before the budget is used up may
   * exceed it; the next ones wait until that is made up for. Requests that were chosen at the same
   * time may exceed it by more; without a limit the region would be closed for as long as all of
   * them take. The debt is therefore at most one burst, or one request if that is larger.
   *
   * @param bytes the bytes that it is expected to transfer
   */
  public void use(long bytes) {
    if (!unbounded) {
      double lowest = -Math.max(burst, bytes);
      available = Math.min(available, Math.max(available - bytes, lowest));
    }
  }
}
