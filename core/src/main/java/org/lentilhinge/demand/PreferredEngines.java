package org.lentilhinge.demand;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.lease.RendezvousHash;

/**
 * The engines of an adapter in the order in which they are preferred, which is the same for all
 * hosts and stays when engines come or go. More engines are those before and further ones, so that
 * few adapters are loaded when the number changes.
 */
public final class PreferredEngines {

  private PreferredEngines() {}

  private record Ranked(FleetEndpoint engine, long weight) implements Comparable<Ranked> {

    @Override
    public int compareTo(Ranked other) {
      return Long.compareUnsigned(other.weight, weight);
    }
  }

  /**
   * Ranks engines.
   *
   * @param engines the engines
   * @param adapter the adapter's name
   * @param count the number of engines to return
   * @return the incarnations of the first engines, the most preferred first
   */
  public static List<String> first(Collection<FleetEndpoint> engines, String adapter, int count) {
    Ranked[] ranked = new Ranked[engines.size()];
    int index = 0;
    for (FleetEndpoint engine : engines) {
      ranked[index] = new Ranked(engine, RendezvousHash.weight(adapter, engine.id()));
      index++;
    }
    Arrays.sort(ranked);
    return Arrays.stream(ranked).limit(count).map(entry -> entry.engine().incarnation()).toList();
  }
}
