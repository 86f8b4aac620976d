package org.lentilhinge.forward;

import java.util.Map;

/** The cost of the distance from this host to each zone, from latency and the price of traffic. */
public final class ZoneDistances {

  /**
   * The cost of another zone of the region: its traffic is charged, which is worth a short wait.
   */
  private static final double OTHER_ZONE_COST_MILLIS = 10;

  /** A round trip between regions and its higher price, in milliseconds. */
  private static final double OTHER_REGION_COST_MILLIS = 120;

  private final String zone;
  private final String region;
  private final Map<String, String> regions;

  /**
   * Creates the distances of a host.
   *
   * @param zone the host's zone
   * @param region the host's region
   * @param regions the region of each zone, by zone
   */
  public ZoneDistances(String zone, String region, Map<String, String> regions) {
    this.zone = zone;
    this.region = region;
    this.regions = Map.copyOf(regions);
  }

  /**
   * Returns the cost of the distance to a zone.
   *
   * @param other the zone
   * @return the cost, as a time in milliseconds
   */
  public double costMillis(String other) {
    if (other.equals(zone)) {
      return 0;
    }
    return regionOf(other).equals(region) ? OTHER_ZONE_COST_MILLIS : OTHER_REGION_COST_MILLIS;
  }

  /**
   * Returns the region of a zone.
   *
   * @param other the zone
   * @return its region, or an empty string if the zone is unknown
   */
  public String regionOf(String other) {
    return regions.getOrDefault(other, "");
  }
}
