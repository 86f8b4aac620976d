package org.lentilhinge.zone;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Plans how much of the demand for one service leaves this host's zone for each other zone. All
 * zones' plans are computed from the statuses of all engines in the same way on all hosts, so that
 * the senders share a receiver's spare capacity without messages about it. The state is a smoothed
 * average, so that hosts with different pasts agree within about a second.
 */
public final class ZoneTrafficPlanner {

  /** The minimum interval between two plans: engine statuses are sent as often. */
  public static final long INTERVAL_MILLIS = 200;

  private final String zone;
  private final Map<String, String> regions;
  private final Map<String, ZoneCapacity> zones = new TreeMap<>();
  private long updatedAtMillis = Long.MIN_VALUE / 2;

  /**
   * Creates a planner that knows of no engines.
   *
   * @param zone the host's zone
   * @param regions the region of each zone, by the zone's name
   */
  public ZoneTrafficPlanner(String zone, Map<String, String> regions) {
    this.zone = zone;
    this.regions = Map.copyOf(regions);
  }

  /** The work that a zone sends or receives, in engines. */
  private static final class Party {
    private final String zone;
    private final String region;
    private final Map<String, Double> flows = new HashMap<>();
    private double rest;

    private Party(String zone, String region, double rest) {
      this.zone = zone;
      this.region = region;
      this.rest = rest;
    }
  }

  /**
   * Returns whether a new plan is due.
   *
   * @param nowMillis the current time, in milliseconds
   * @return whether the interval has passed
   */
  public boolean isDue(long nowMillis) {
    return nowMillis - updatedAtMillis >= INTERVAL_MILLIS;
  }

  /**
   * Computes a new plan.
   *
   * @param engines all engines of the service
   * @param prices the costs of the zones
   * @param nowMillis the current time, in milliseconds
   * @return the plan of this host's zone
   */
  public ZoneTrafficPlan update(Collection<EngineRoom> engines, ZonePrices prices, long nowMillis) {
    updateCapacities(engines, nowMillis);
    List<Party> senders = new ArrayList<>();
    List<Party> receivers = new ArrayList<>();
    zones.forEach(
        (name, capacity) -> {
          String region = regions.getOrDefault(name, "");
          if (capacity.need() > 0) {
            senders.add(new Party(name, region, capacity.need()));
          } else if (capacity.offered() > 0) {
            receivers.add(new Party(name, region, capacity.offered()));
          }
        });
    // The order of the regions is the same on all hosts.
    Set<String> regionNames = new TreeSet<>(regions.values());
    for (String region : regionNames) {
      match(inRegion(senders, region, true), inRegion(receivers, region, true));
    }
    for (String region : regionNames) {
      match(inRegion(senders, region, true), inRegion(receivers, region, false));
    }
    return plan(senders, receivers, prices);
  }

  private void updateCapacities(Collection<EngineRoom> engines, long nowMillis) {
    long elapsedMillis = Math.max(0, nowMillis - updatedAtMillis);
    updatedAtMillis = nowMillis;
    zones.values().forEach(ZoneCapacity::begin);
    for (EngineRoom engine : engines) {
      ZoneCapacity capacity = zones.get(engine.zone());
      if (capacity == null) {
        capacity = new ZoneCapacity();
        zones.put(engine.zone(), capacity);
      }
      capacity.add(engine);
    }
    zones.values().forEach(capacity -> capacity.end(elapsedMillis));
  }

  private static List<Party> inRegion(List<Party> parties, String region, boolean inside) {
    return parties.stream().filter(party -> party.region.equals(region) == inside).toList();
  }

  /** Divides what receivers offer among senders in proportion to both. */
  private static void match(List<Party> senders, List<Party> receivers) {
    double needed = senders.stream().mapToDouble(party -> party.rest).sum();
    double offered = receivers.stream().mapToDouble(party -> party.rest).sum();
    double matched = Math.min(needed, offered);
    if (matched <= 0) {
      return;
    }
    for (Party sender : senders) {
      for (Party receiver : receivers) {
        double flow = matched * (sender.rest / needed) * (receiver.rest / offered);
        sender.flows.merge(receiver.zone, flow, Double::sum);
      }
    }
    senders.forEach(party -> party.rest *= 1 - matched / needed);
    receivers.forEach(party -> party.rest *= 1 - matched / offered);
  }

  private ZoneTrafficPlan plan(List<Party> senders, List<Party> receivers, ZonePrices prices) {
    ZoneCapacity own = zones.get(zone);
    // A zone without a region gets no flows, so that shares would keep all its requests.
    if (own == null || !own.isKnown() || !regions.containsKey(zone)) {
      return ZoneTrafficPlan.unrestricted(zone, prices);
    }
    Map<String, Double> flows = new HashMap<>();
    int otherSenders = 0;
    for (Party sender : senders) {
      if (sender.zone.equals(zone)) {
        flows.putAll(sender.flows);
      } else {
        otherSenders++;
      }
    }
    Map<String, Double> rests = new HashMap<>();
    receivers.forEach(party -> rests.put(party.zone, party.rest));
    double demand = own.demand();
    double totalDemand = demand * (1 + otherSenders);
    double totalRest = rests.values().stream().mapToDouble(rest -> rest).sum();
    List<ZoneTrafficPlan.Share> shares = new ArrayList<>();
    zones.forEach(
        (target, capacity) -> {
          if (!target.equals(zone)) {
            double flow = flows.getOrDefault(target, 0.0);
            double rest = rests.getOrDefault(target, 0.0);
            shares.add(
                new ZoneTrafficPlan.Share(
                    target,
                    flow == 0 ? 0 : Math.min(1, flow / demand),
                    own.spare(),
                    capacity.spare(),
                    rest == 0 ? 0 : rest / Math.max(totalRest, totalDemand)));
          }
        });
    return new ZoneTrafficPlan(zone, true, shares, prices);
  }
}
