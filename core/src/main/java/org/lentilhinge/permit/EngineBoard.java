package org.lentilhinge.permit;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ZoneDistances;
import org.lentilhinge.lease.RendezvousHash;

/**
 * Selects the engine for a request from the engine statuses of all owners: the one that is expected
 * to send the first event soonest. Each adapter has a preferred and a secondary engine among the
 * engines of all regions, the same for all hosts, because loading an adapter on one more engine
 * costs more than the distance to another region.
 */
public final class EngineBoard {

  /** An engine status older than this is ignored, in milliseconds. */
  private static final long NOTICE_MILLIS = 2_500;

  /** The cost of a load on the preferred engine, which probably had the adapter recently. */
  private static final double HOME_LOAD_MILLIS = 100;

  /** The cost of a load on the secondary engine, which serves what the preferred one cannot. */
  private static final double SECOND_HOME_LOAD_MILLIS = 400;

  /** The cost of a load on any other engine, in milliseconds. */
  private static final double LOAD_MILLIS = 800;

  /** The added cost of an absent adapter if no order can be sent to the engine, in milliseconds. */
  private static final double NO_HOLDER_MILLIS = 800;

  /** The added cost of an absent adapter per adapter that waits for a slot, in milliseconds. */
  private static final double WAITING_MILLIS = 150;

  /** The added cost of an absent adapter if no slot is available, in milliseconds. */
  private static final double FULL_MILLIS = 300;

  private final Map<String, Noted> notices = new HashMap<>();
  private final Map<String, Asked> asked = new HashMap<>();

  /** Creates a selector without engine statuses. */
  public EngineBoard() {}

  private record Noted(String host, EngineNotice notice, long atMillis) {}

  /** This host's permit requests to an engine that its latest status does not include yet. */
  private static final class Asked {
    private double readingMillis;
    private final Set<String> adapters = new HashSet<>();
  }

  /**
   * Records an engine status. The status of an owner replaces that of any other host.
   *
   * @param host the host that sent the status
   * @param status the engine status
   * @param nowMillis the current time, in milliseconds
   */
  public void noted(String host, EngineNotice status, long nowMillis) {
    Noted former = notices.get(status.life());
    boolean authoritative = former == null || former.host().equals(host) || status.holding();
    if (authoritative || nowMillis - former.atMillis() > NOTICE_MILLIS) {
      notices.put(status.life(), new Noted(host, status, nowMillis));
      asked.remove(status.life());
    }
  }

  /**
   * Counts a permit request of this host until the next engine status includes it.
   *
   * @param incarnation the engine's incarnation
   * @param adapter the adapter's name, or an empty string for the base model
   * @param promptTokens the number of prompt tokens
   */
  public void asked(String incarnation, String adapter, int promptTokens) {
    Asked pending = asked.computeIfAbsent(incarnation, unused -> new Asked());
    pending.readingMillis += promptTokens / DeskSettings.FIRST_TOKENS_PER_MILLI;
    pending.adapters.add(adapter);
  }

  /**
   * Removes the engine statuses that a host sent.
   *
   * @param host the host that failed or left
   */
  public void hostGone(String host) {
    notices.values().removeIf(entry -> entry.host().equals(host));
  }

  /**
   * Removes an engine.
   *
   * @param incarnation the incarnation that has ended
   */
  public void forget(String incarnation) {
    notices.remove(incarnation);
    asked.remove(incarnation);
  }

  /**
   * Returns the host that runs the scheduler of an engine.
   *
   * @param incarnation the engine's incarnation
   * @param nowMillis the current time, in milliseconds
   * @return the sender of the latest engine status, or empty if there is none or it is too old
   */
  public Optional<String> host(String incarnation, long nowMillis) {
    return current(incarnation, nowMillis).map(Noted::host);
  }

  /**
   * Returns whether another host claims the ownership of an engine.
   *
   * @param incarnation the incarnation of the engine
   * @param self the name of this host
   * @param nowMillis the current time, in milliseconds
   * @return whether another host sent a status, not too old, that reports the ownership
   */
  public boolean isHeldElsewhere(String incarnation, String self, long nowMillis) {
    return current(incarnation, nowMillis)
        .filter(entry -> entry.notice().holding() && !entry.host().equals(self))
        .isPresent();
  }

  private Optional<Noted> current(String incarnation, long nowMillis) {
    return Optional.ofNullable(notices.get(incarnation))
        .filter(entry -> nowMillis - entry.atMillis() <= NOTICE_MILLIS);
  }

  /**
   * Selects an engine.
   *
   * @param engines the engines that may be used
   * @param excluded the incarnations that refused the request
   * @param adapter the adapter's name, or an empty string for the base model
   * @param distances the cost of the distance to each zone
   * @param failures the cost of the recent failures of an engine, in milliseconds
   * @param nowMillis the current time, in milliseconds
   * @return the engine with the lowest cost, or empty if none is left
   */
  public Optional<FleetEndpoint> choose(
      Collection<FleetEndpoint> engines,
      Set<String> excluded,
      String adapter,
      ZoneDistances distances,
      ToDoubleFunction<FleetEndpoint> failures,
      long nowMillis) {
    List<String> preferred = homes(engines, adapter);
    return engines.stream()
        .filter(engine -> !excluded.contains(engine.life()))
        .min(
            (first, second) ->
                Double.compare(
                    failures.applyAsDouble(first)
                        + costMillis(first, adapter, preferred, distances, nowMillis),
                    failures.applyAsDouble(second)
                        + costMillis(second, adapter, preferred, distances, nowMillis)));
  }

  /**
   * Returns the adapter's preferred and secondary engine, which are the same for all hosts, so that
   * few engines load it.
   */
  private static List<String> homes(Collection<FleetEndpoint> engines, String adapter) {
    return engines.stream()
        .sorted(
            (first, second) ->
                Long.compareUnsigned(
                    RendezvousHash.weight(adapter, second.id()),
                    RendezvousHash.weight(adapter, first.id())))
        .limit(2)
        .map(FleetEndpoint::life)
        .toList();
  }

  private static double loadMillis(int index) {
    return switch (index) {
      case 0 -> HOME_LOAD_MILLIS;
      case 1 -> SECOND_HOME_LOAD_MILLIS;
      default -> LOAD_MILLIS;
    };
  }

  private double costMillis(
      FleetEndpoint engine,
      String adapter,
      List<String> preferred,
      ZoneDistances distances,
      long nowMillis) {
    double cost = distances.millis(engine.zone());
    Optional<EngineNotice> status = current(engine.life(), nowMillis).map(Noted::notice);
    Asked pending = asked.get(engine.life());
    boolean loaded =
        adapter.isEmpty()
            || (pending != null && pending.adapters.contains(adapter))
            || status.filter(current -> current.adapters().contains(adapter)).isPresent();
    cost += pending == null ? 0 : pending.readingMillis;
    if (!loaded) {
      cost += loadMillis(preferred.indexOf(engine.life()));
    }
    if (status.isPresent()) {
      cost += status.get().backlogMillis();
      if (!loaded) {
        cost += status.get().waiting() * WAITING_MILLIS;
        cost += status.get().freeSlots() == 0 ? FULL_MILLIS : 0;
        cost += status.get().holding() ? 0 : NO_HOLDER_MILLIS;
      }
    }
    return cost;
  }
}
