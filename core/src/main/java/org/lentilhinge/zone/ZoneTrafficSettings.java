package org.lentilhinge.zone;

/**
 * The operators' terms for traffic between zones.
 *
 * @param zonePrice the wait that callers accept to save traffic to another zone of the region, in
 *     milliseconds per megabyte
 * @param regionPrice the wait that callers accept to save traffic to another region, in
 *     milliseconds per megabyte
 * @param regionBandwidth the bandwidth between regions in each direction, in megabits per second; 0
 *     if it is not stated
 * @param regionBandwidthShare the part of that bandwidth that forwarded requests may use
 */
public record ZoneTrafficSettings(
    double zonePrice, double regionPrice, double regionBandwidth, double regionBandwidthShare) {

  /**
   * The default of {@link #regionBandwidthShare}. The rest is left for statuses and published
   * configurations, and for responses that are larger than estimated.
   */
  public static final double DEFAULT_BANDWIDTH_SHARE = 0.5;

  /** The terms of traffic without a price and without a known bandwidth. */
  public static final ZoneTrafficSettings FREE_UNBOUNDED =
      new ZoneTrafficSettings(0, 0, 0, DEFAULT_BANDWIDTH_SHARE);
}
