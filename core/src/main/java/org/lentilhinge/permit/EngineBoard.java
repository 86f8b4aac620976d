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
 * Chooses the engine for a request from the notices of all holders: the one that will send the
 * first event soonest. Each adapter has a home and a second home among the engines of all regions,
 * the same for all hosts: fetching an adapter once more costs more than the way to another region.
 */
public final class EngineBoard {

  /** A notice older than this says nothing, in milliseconds. */
  private static final long NOTICE_MILLIS = 2_500;

  /** What a load costs at the adapter's home, which probably held it lately, in milliseconds. */
  private static final double HOME_LOAD_MILLIS = 100;

  /** What a load costs at the second home, which takes what the first cannot, in milliseconds. */
  private static final double SECOND_HOME_LOAD_MILLIS = 400;

  /** What a load costs elsewhere, in milliseconds. */
  private static final double LOAD_MILLIS = 800;

  /** What a desk that may not order its engine costs if the adapter is absent, in milliseconds. */
  private static final double NO_HOLDER_MILLIS = 800;

  /** What each request that waits for a slot adds, in milliseconds. */
  private static final double WAITING_MILLIS = 150;

  /** What having no slot to give adds, in milliseconds. */
  private static final double FULL_MILLIS = 300;

  private final Map<String, Noted> notices = new HashMap<>();
  private final Map<String, Asked> asked = new HashMap<>();

  /** Makes a board without notices. */
  public EngineBoard() {}

  private record Noted(String host, EngineNotice notice, long atMillis) {}

  /** What this host has asked of an engine since the last notice, which does not count it yet. */
  private static final class Asked {
    private double readingMillis;
    private final Set<String> adapters = new HashSet<>();
  }

  /**
   * Takes a notice.
   *
   * @param host the host that sent it
   * @param notice the notice
   * @param nowMillis the time
   */
  public void noted(String host, EngineNotice notice, long nowMillis) {
    Noted former = notices.get(notice.life());
    boolean stronger = former == null || former.host().equals(host) || notice.holding();
    if (stronger || nowMillis - former.atMillis() > NOTICE_MILLIS) {
      notices.put(notice.life(), new Noted(host, notice, nowMillis));
      asked.remove(notice.life());
    }
  }

  /**
   * Counts an ask of this host's own until the next notice does.
   *
   * @param life the engine's life
   * @param adapter the adapter's name, or an empty text
   * @param promptTokens the tokens to read
   */
  public void asked(String life, String adapter, int promptTokens) {
    Asked own = asked.computeIfAbsent(life, unused -> new Asked());
    own.readingMillis += promptTokens / DeskSettings.FIRST_TOKENS_PER_MILLI;
    own.adapters.add(adapter);
  }

  /**
   * Forgets what a host said.
   *
   * @param host the host that is gone
   */
  public void hostGone(String host) {
    notices.values().removeIf(noted -> noted.host().equals(host));
  }

  /**
   * Forgets an engine.
   *
   * @param life the life that is gone
   */
  public void forget(String life) {
    notices.remove(life);
    asked.remove(life);
  }

  /**
   * Finds the host that decides for an engine.
   *
   * @param life the engine's life
   * @param nowMillis the time
   * @return the host of the newest notice that still counts
   */
  public Optional<String> host(String life, long nowMillis) {
    return current(life, nowMillis).map(Noted::host);
  }

  /**
   * Tells whether another host says that it holds an engine.
   *
   * @param life the life of the engine
   * @param self this host
   * @param nowMillis the time
   * @return whether a notice that still counts says so
   */
  public boolean isHeldElsewhere(String life, String self, long nowMillis) {
    return current(life, nowMillis)
        .filter(noted -> noted.notice().holding() && !noted.host().equals(self))
        .isPresent();
  }

  private Optional<Noted> current(String life, long nowMillis) {
    return Optional.ofNullable(notices.get(life))
        .filter(noted -> nowMillis - noted.atMillis() <= NOTICE_MILLIS);
  }

  /**
   * Chooses an engine.
   *
   * @param engines the engines that may be used
   * @param excluded the lives that refused the request
   * @param adapter the adapter's name, or an empty text
   * @param distances how far each zone is
   * @param failures what the failures of an engine cost, in milliseconds
   * @param nowMillis the time
   * @return the engine with the least wait to expect
   */
  public Optional<FleetEndpoint> choose(
      Collection<FleetEndpoint> engines,
      Set<String> excluded,
      String adapter,
      ZoneDistances distances,
      ToDoubleFunction<FleetEndpoint> failures,
      long nowMillis) {
    List<String> homes = homes(engines, adapter);
    return engines.stream()
        .filter(engine -> !excluded.contains(engine.life()))
        .min(
            (first, second) ->
                Double.compare(
                    failures.applyAsDouble(first)
                        + costMillis(first, adapter, homes, distances, nowMillis),
                    failures.applyAsDouble(second)
                        + costMillis(second, adapter, homes, distances, nowMillis)));
  }

  /** Finds the adapter's two homes: the same for all hosts, so that few engines fetch it. */
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

  private static double loadMillis(int home) {
    return switch (home) {
      case 0 -> HOME_LOAD_MILLIS;
      case 1 -> SECOND_HOME_LOAD_MILLIS;
      default -> LOAD_MILLIS;
    };
  }

  private double costMillis(
      FleetEndpoint engine,
      String adapter,
      List<String> homes,
      ZoneDistances distances,
      long nowMillis) {
    double cost = distances.millis(engine.zone());
    Optional<EngineNotice> notice = current(engine.life(), nowMillis).map(Noted::notice);
    Asked own = asked.get(engine.life());
    boolean there =
        adapter.isEmpty()
            || (own != null && own.adapters.contains(adapter))
            || notice.filter(known -> known.adapters().contains(adapter)).isPresent();
    cost += own == null ? 0 : own.readingMillis;
    if (!there) {
      cost += loadMillis(homes.indexOf(engine.life()));
    }
    if (notice.isPresent()) {
      cost += notice.get().backlogMillis();
      if (!there) {
        cost += notice.get().waiting() * WAITING_MILLIS;
        cost += notice.get().freeSlots() == 0 ? FULL_MILLIS : 0;
        cost += notice.get().holding() ? 0 : NO_HOLDER_MILLIS;
      }
    }
    return cost;
  }
}
