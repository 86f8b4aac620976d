package org.lentilhinge.forward;

import java.util.Map;

/** The cost of the distance from this host to each zone, from latency and the price of traffic. */
public final class ZoneDistances implements ZoneCosts {

  /**
   * The cost of another zone of the same region, in milliseconds. Traffic between zones is charged,
   * so a short wait is preferred to it.
   */
  private static final double OTHER_ZONE_COST_MILLIS = 10;

  /** The cost of another region, in milliseconds: a round trip and the higher price of traffic. */
  private static final double OTHER_REGION_COST_MILLIS = 120;

  private final String zone;
  private final String region;
  private final Map<String, String> regions;

  /**
   * Creates the distances of a host.
   *
   * @param zone the host's zone
   * @param region the host's region
   * @param regions the region of each zone, by the zone's name
   */
  public ZoneDistances(String zone, String region, Map<String, String> regions) {
    this.zone = zone;
    this.region = region;
    this.regions = Map.copyOf(regions);
  }

  @Override
  public double costMillis(String targetZone) {
    if (targetZone.equals(zone)) {
      return 0;
    }
    return regionOf(targetZone).equals(region) ? OTHER_ZONE_COST_MILLIS : OTHER_REGION_COST_MILLIS;
  }

  /**
   * Returns the region of a zone.
   *
   * @param zoneName the zone
   * @return its region, or an empty string if the zone is unknown
   */
  public String regionOf(String zoneName) {
    return regions.getOrDefault(zoneName, "");
  }
}
