package org.lentilhinge.configuration;

import java.util.Map;
import java.util.Optional;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ZoneId;

/**
 * The limits of the whole system's load on the weight store, and their division among the
 * availability zones. A zone spends only its own share, so that the sum cannot be exceeded during a
 * network partition.
 *
 * @param loadsPerSecond the maximum number of adapter loads started per second, in all zones
 * @param loadsInFlight the maximum number of adapter loads running at the same time, in all zones
 * @param zoneShares each zone's share of both limits, relative to the other zones' shares
 * @param region the region of the store, if declared; loads in other regions cross the link between
 *     the regions
 */
public record StoreBudget(
    double loadsPerSecond,
    int loadsInFlight,
    Map<ZoneId, Integer> zoneShares,
    Optional<RegionId> region) {

  /**
   * Creates a budget with a copy of the shares.
   *
   * @param loadsPerSecond the rate
   * @param loadsInFlight the concurrency
   * @param zoneShares the shares
   * @param region the store's region
   */
  public StoreBudget {
    zoneShares = Map.copyOf(zoneShares);
  }

  /**
   * Creates a budget of a store whose region is not declared.
   *
   * @param loadsPerSecond the rate
   * @param loadsInFlight the concurrency
   * @param zoneShares the shares
   */
  public StoreBudget(double loadsPerSecond, int loadsInFlight, Map<ZoneId, Integer> zoneShares) {
    this(loadsPerSecond, loadsInFlight, zoneShares, Optional.empty());
  }
}
