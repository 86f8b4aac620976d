package org.lentilhinge.demand;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The demand for adapters over all engines, as the hosts that schedule them state it, and the
 * number of engines that each adapter needs. The number follows a rise at once and a fall slowly,
 * as an adapter that is unloaded too early has to be loaded again.
 */
public final class FleetDemand {

  /** The number of engines of an adapter with little demand: a preferred and a secondary one. */
  public static final int MINIMUM_ENGINES = 2;

  /**
   * The part of an engine's time that one adapter takes at most on average. The rest is left for
   * the other adapters of its slots, and for arrivals that come in bursts.
   */
  private static final double LOAD_PER_ENGINE = 0.4;

  /**
   * The load up to which the preferred and the secondary engine carry an adapter. Further engines
   * would load it in place of other adapters, which costs more than a short wait.
   */
  private static final double LOAD_OF_MINIMUM_ENGINES = 1.5;

  /** The half-life of a demand that has fallen. */
  private static final double FALL_HALF_LIFE_MILLIS = 3_000;

  /** The interval at which the sums are updated. */
  private static final long UPDATE_INTERVAL_MILLIS = 100;

  /**
   * The age above which a statement is ignored, in milliseconds. Statements are repeated each
   * second; one that arrives after its engine has ended is the last one.
   */
  private static final long MAXIMUM_AGE_MILLIS = 2_500;

  private final Map<String, Statement> stated = new HashMap<>();
  private Map<String, AdapterLoad> held = new HashMap<>();
  private List<AdapterLoad> spread = List.of();
  private long updatedAtMillis = Long.MIN_VALUE / 2;

  private record Statement(List<AdapterLoad> loads, long receivedAtMillis) {}

  /** Creates a state in which no demand is known. */
  public FleetDemand() {}

  /**
   * Records the demand at one engine.
   *
   * @param incarnation the incarnation of the engine
   * @param loads the loads of the adapters
   * @param nowMillis the current time, in milliseconds
   */
  public void update(String incarnation, List<AdapterLoad> loads, long nowMillis) {
    if (loads.isEmpty()) {
      stated.remove(incarnation);
    } else {
      stated.put(incarnation, new Statement(loads, nowMillis));
    }
  }

  /**
   * Removes an engine.
   *
   * @param incarnation the incarnation that has ended or whose host is lost
   */
  public void remove(String incarnation) {
    stated.remove(incarnation);
  }

  private void refresh(long nowMillis) {
    long elapsedMillis = nowMillis - updatedAtMillis;
    if (elapsedMillis < UPDATE_INTERVAL_MILLIS) {
      return;
    }
    updatedAtMillis = nowMillis;
    stated
        .values()
        .removeIf(statement -> nowMillis - statement.receivedAtMillis() > MAXIMUM_AGE_MILLIS);
    Map<String, AdapterLoad> sums = new HashMap<>();
    for (Statement statement : stated.values()) {
      statement.loads().forEach(load -> sums.merge(load.adapter(), load, FleetDemand::add));
    }
    double factor = Math.pow(0.5, elapsedMillis / FALL_HALF_LIFE_MILLIS);
    held.forEach(
        (adapter, former) -> {
          AdapterLoad fallen =
              new AdapterLoad(adapter, former.requestsPerSecond() * factor, former.load() * factor);
          if (fallen.load() >= LOAD_PER_ENGINE) {
            sums.merge(adapter, fallen, FleetDemand::larger);
          }
        });
    held = sums;
    List<AdapterLoad> needing = new ArrayList<>();
    for (AdapterLoad load : sums.values()) {
      if (engines(load) > MINIMUM_ENGINES) {
        needing.add(load);
      }
    }
    needing.sort(
        Comparator.comparingDouble(AdapterLoad::load)
            .reversed()
            .thenComparing(AdapterLoad::adapter));
    spread = needing;
  }

  private static AdapterLoad add(AdapterLoad first, AdapterLoad second) {
    return new AdapterLoad(
        first.adapter(),
        first.requestsPerSecond() + second.requestsPerSecond(),
        first.load() + second.load());
  }

  private static AdapterLoad larger(AdapterLoad first, AdapterLoad second) {
    return first.load() >= second.load() ? first : second;
  }

  /**
   * Returns the number of engines that an amount of demand needs.
   *
   * @param load the demand for an adapter
   * @return the number, at least {@link #MINIMUM_ENGINES}
   */
  public static int engines(AdapterLoad load) {
    return load.load() <= LOAD_OF_MINIMUM_ENGINES
        ? MINIMUM_ENGINES
        : (int) Math.ceil(load.load() / LOAD_PER_ENGINE);
  }

  /**
   * Returns the number of engines that an adapter needs.
   *
   * @param adapter the adapter's name
   * @param nowMillis the current time, in milliseconds
   * @return the number, at least {@link #MINIMUM_ENGINES}
   */
  public int engines(String adapter, long nowMillis) {
    refresh(nowMillis);
    AdapterLoad load = held.get(adapter);
    return load == null ? MINIMUM_ENGINES : engines(load);
  }

  /**
   * Returns the adapters that need more engines than {@link #MINIMUM_ENGINES}.
   *
   * @param nowMillis the current time, in milliseconds
   * @return their demand, the largest first
   */
  public List<AdapterLoad> spread(long nowMillis) {
    refresh(nowMillis);
    return spread;
  }
}
