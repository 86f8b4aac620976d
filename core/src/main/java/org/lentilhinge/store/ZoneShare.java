package org.lentilhinge.store;

import java.util.Comparator;
import java.util.List;
import org.lentilhinge.configuration.StoreBudget;
import org.lentilhinge.identity.ZoneId;

/**
 * An availability zone's share of the store budget. The sum of the shares of all zones never
 * exceeds the budget.
 *
 * @param loadsPerSecond the number of loads started per second
 * @param loadsInFlight the number of loads running at the same time
 */
public record ZoneShare(double loadsPerSecond, int loadsInFlight) {

  /**
   * Computes a zone's share. In-flight loads that remain after the division by the shares go to the
   * zones with the largest remainders, and among equal remainders to the first zones by name.
   *
   * @param budget the budget
   * @param zone the zone
   * @return the zone's share
   */
  public static ZoneShare of(StoreBudget budget, ZoneId zone) {
    int sum = budget.zoneShares().values().stream().mapToInt(Integer::intValue).sum();
    int part = budget.zoneShares().getOrDefault(zone, 0);
    if (sum == 0 || part == 0) {
      return new ZoneShare(0, 0);
    }
    return new ZoneShare(budget.loadsPerSecond() * part / sum, loadsInFlight(budget, zone, sum));
  }

  private static int loadsInFlight(StoreBudget budget, ZoneId zone, int sum) {
    int assigned = 0;
    for (int part : budget.zoneShares().values()) {
      assigned += budget.loadsInFlight() * part / sum;
    }
    List<ZoneId> byRemainder =
        budget.zoneShares().keySet().stream()
            .sorted(
                Comparator.comparingInt((ZoneId other) -> -remainder(budget, other, sum))
                    .thenComparing(Comparator.naturalOrder()))
            .toList();
    boolean extra = byRemainder.indexOf(zone) < budget.loadsInFlight() - assigned;
    return budget.loadsInFlight() * budget.zoneShares().get(zone) / sum + (extra ? 1 : 0);
  }

  private static int remainder(StoreBudget budget, ZoneId zone, int sum) {
    return budget.loadsInFlight() * budget.zoneShares().get(zone) % sum;
  }
}
