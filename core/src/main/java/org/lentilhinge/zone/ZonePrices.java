package org.lentilhinge.zone;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.lentilhinge.forward.ZoneDistances;

/** The cost of sending a request of some size to each zone, as of one moment. */
public final class ZonePrices {

  /** The round trips before the first event: one for the permit and one for the request. */
  private static final int ROUND_TRIPS = 2;

  private static final double BYTES_PER_MEGABYTE = 1_000_000;

  /** The milliseconds that a megabyte takes at one megabit per second. */
  private static final double MILLIS_PER_MEGABYTE = 8_000;

  private final Map<String, Price> prices;

  private final ZoneDistances distances;

  private record Price(double fixedMillis, double millisPerMegabyte) {}

  private ZonePrices(Map<String, Price> prices, ZoneDistances distances) {
    this.prices = prices;
    this.distances = distances;
  }

  /**
   * Computes the prices for a host.
   *
   * @param zone the host's zone
   * @param regions the region of each zone
   * @param settings the operators' terms
   * @param distances the costs of zones whose round-trip time was not measured
   * @param roundTrips the measured round-trip times
   * @return the prices of all zones
   */
  public static ZonePrices of(
      String zone,
      Map<String, String> regions,
      ZoneTrafficSettings settings,
      ZoneDistances distances,
      ZoneRoundTrips roundTrips) {
    Map<String, Price> prices = new HashMap<>();
    for (String target : regions.keySet()) {
      OptionalDouble millis = roundTrips.millis(target);
      if (!target.equals(zone) && millis.isPresent()) {
        boolean sameRegion = regions.get(target).equals(regions.get(zone));
        double perMegabyte = sameRegion ? settings.zonePrice() : settings.regionPrice();
        if (!sameRegion && settings.regionBandwidth() > 0) {
          perMegabyte += MILLIS_PER_MEGABYTE / settings.regionBandwidth();
        }
        prices.put(target, new Price(millis.getAsDouble() * ROUND_TRIPS, perMegabyte));
      }
    }
    return new ZonePrices(prices, distances);
  }

  /**
   * Returns the cost of a zone.
   *
   * @param zone the zone
   * @param bytes the bytes that the request is expected to transfer
   * @return the cost in milliseconds
   */
  public double costMillis(String zone, long bytes) {
    Price price = prices.get(zone);
    return price == null
        ? distances.costMillis(zone)
        : price.fixedMillis + price.millisPerMegabyte * bytes / BYTES_PER_MEGABYTE;
  }
}
