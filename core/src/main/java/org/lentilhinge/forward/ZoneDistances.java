package org.lentilhinge.forward;

import java.util.Map;

/** Weighs how far a zone is from this host, by time and by the price of the bytes on the way. */
public final class ZoneDistances {

  /** Bytes to another zone of the region are paid for: worth a short wait, in milliseconds. */
  private static final double OTHER_ZONE_MILLIS = 10;

  /** Two passes of the link between regions, and its higher price, in milliseconds. */
  private static final double OTHER_REGION_MILLIS = 120;

  private final String zone;
  private final String region;
  private final Map<String, String> regions;

  /**
   * Places this host.
   *
   * @param zone the host's zone
   * @param region the host's region
   * @param regions the regions of all zones
   */
  public ZoneDistances(String zone, String region, Map<String, String> regions) {
    this.zone = zone;
    this.region = region;
    this.regions = Map.copyOf(regions);
  }

  /**
   * Weighs the distance of a zone.
   *
   * @param other the zone
   * @return its cost as a time in milliseconds
   */
  public double millis(String other) {
    if (other.equals(zone)) {
      return 0;
    }
    return regionOf(other).equals(region) ? OTHER_ZONE_MILLIS : OTHER_REGION_MILLIS;
  }

  /**
   * Finds the region of a zone.
   *
   * @param other the zone
   * @return its region, or an empty text if the zone is not known
   */
  public String regionOf(String other) {
    return regions.getOrDefault(other, "");
  }
}
