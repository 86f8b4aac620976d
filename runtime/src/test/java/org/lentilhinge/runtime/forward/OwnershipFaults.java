package org.lentilhinge.runtime.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/** Faults of hosts, links, engines and the store, at random places and for random times. */
final class OwnershipFaults {

  private static final long STOP_MILLIS = 2_000;

  private final OwnershipSimulation simulation;
  private final Random random;

  /** The kinds of faults. */
  enum Kind {
    RELAY_FROZEN,
    RELAY_CUT_FROM_MEMBER,
    PAIR_CUT,
    HOST_HEARD_BY_NOBODY,
    HOST_FROZEN,
    HOST_RESTARTED,
    OWNER_RESTARTED,
    OWNER_FROZEN,
    OWNER_CUT_OFF,
    ZONE_RESTARTED_IN_TURN,
    ZONE_STOPPED_IN_TURN,
    TICKS_LATE,
    HOSTS_STARVED,
    ENGINES_RESTARTED,
    CALLS_UNANSWERED,
    STORE_SLOW,
    ZONES_PARTITIONED
  }

  OwnershipFaults(OwnershipSimulation simulation, Random random) {
    this.simulation = simulation;
    this.random = random;
  }

  /**
   * Begins a fault now.
   *
   * @return the time until it has ended, in milliseconds
   */
  long begin(Kind kind) {
    return switch (kind) {
      case RELAY_FROZEN -> freeze(simulation.relay(anyHost(), anyZone()));
      case RELAY_CUT_FROM_MEMBER -> cutRelay();
      case PAIR_CUT -> cutPair();
      case HOST_HEARD_BY_NOBODY -> cutFromAll(anyHost(), false);
      case HOST_FROZEN -> freeze(anyHost());
      case HOST_RESTARTED -> restart(anyHost());
      case OWNER_RESTARTED -> restart(anyOwner());
      case OWNER_FROZEN -> freeze(anyOwner());
      case OWNER_CUT_OFF -> cutFromAll(anyOwner(), random.nextBoolean());
      case ZONE_RESTARTED_IN_TURN -> restartInTurn(false);
      case ZONE_STOPPED_IN_TURN -> restartInTurn(true);
      case TICKS_LATE -> delayTicks();
      case HOSTS_STARVED -> starve();
      case ENGINES_RESTARTED -> restartEngines();
      case CALLS_UNANSWERED -> silenceEngines();
      case STORE_SLOW -> slowStore();
      case ZONES_PARTITIONED -> partition();
    };
  }

  private long between(long fromMillis, long toMillis) {
    return fromMillis + random.nextInt((int) (toMillis - fromMillis));
  }

  private <T> T any(List<T> values) {
    return values.get(random.nextInt(values.size()));
  }

  private String anyHost() {
    return any(simulation.hostNames());
  }

  private String anyZone() {
    return any(simulation.zones());
  }

  /** Returns the host that last ordered some engine, or any host if there is none. */
  private String anyOwner() {
    return simulation.arrivals().lastHost(any(simulation.engineNames())).orElseGet(this::anyHost);
  }

  private long freeze(String host) {
    long millis = between(3_000, 6_000);
    simulation.host(host).ifPresent(process -> process.freeze(millis));
    return millis;
  }

  private long restart(String host) {
    long millis = between(300, 4_000);
    simulation.killAndStart(host, millis);
    return millis;
  }

  private long cut(Set<String> from, Set<String> to, boolean bothWays, long millis) {
    simulation.network().cut(from, to, millis);
    if (bothWays) {
      simulation.network().cut(to, from, millis);
    }
    return millis;
  }

  private long cutRelay() {
    String zone = anyZone();
    String relay = simulation.relay(anyHost(), zone);
    String member = any(simulation.hostNames(zone));
    boolean bothWays = random.nextBoolean();
    return cut(Set.of(relay), Set.of(member), bothWays, between(3_000, 20_000));
  }

  private long cutPair() {
    List<String> zone = simulation.hostNames(anyZone());
    boolean bothWays = random.nextBoolean();
    return cut(Set.of(any(zone)), Set.of(any(zone)), bothWays, between(3_000, 20_000));
  }

  private long cutFromAll(String host, boolean bothWays) {
    Set<String> others = new TreeSet<>(simulation.hostNames());
    others.remove(host);
    return cut(Set.of(host), others, bothWays, between(3_000, 15_000));
  }

  private long restartInTurn(boolean planned) {
    long pauseMillis = between(500, 1_500);
    long downMillis = between(300, 2_000);
    long atMillis = 0;
    for (String host : simulation.hostNames(anyZone())) {
      simulation.schedule(
          atMillis,
          () -> {
            if (planned) {
              simulation.stopAndStart(host, STOP_MILLIS, downMillis);
            } else {
              simulation.killAndStart(host, downMillis);
            }
          });
      atMillis += pauseMillis;
    }
    return atMillis + STOP_MILLIS + downMillis;
  }

  private long delayTicks() {
    long millis = between(5_000, 10_000);
    simulation.delayTicks(0.2);
    simulation.schedule(millis, () -> simulation.delayTicks(0));
    return millis;
  }

  private long starve() {
    long millis = between(3_000, 10_000);
    int count = 1 + random.nextInt(3);
    for (int index = 0; index < count; index++) {
      simulation.host(anyHost()).ifPresent(process -> process.starve(millis));
    }
    return millis + 1_500;
  }

  private long restartEngines() {
    for (String engine : anyEngines()) {
      simulation.engine(engine).restart(simulation.now());
    }
    return 0;
  }

  /** Returns about a third of the engines, at least one. */
  private Set<String> anyEngines() {
    Set<String> engines = new TreeSet<>();
    engines.add(any(simulation.engineNames()));
    for (String engine : simulation.engineNames()) {
      if (random.nextInt(3) == 0) {
        engines.add(engine);
      }
    }
    return engines;
  }

  private long silenceEngines() {
    long millis = between(2_000, 8_000);
    OwnershipSimulation.Silence silence =
        new OwnershipSimulation.Silence(
            anyEngines(), random.nextDouble(), random.nextDouble(), random.nextDouble());
    simulation.silence(silence);
    simulation.schedule(millis, () -> simulation.silence(OwnershipSimulation.Silence.NONE));
    return millis;
  }

  private long slowStore() {
    long millis = between(3_000, 10_000);
    simulation.store().slow(2_000, millis);
    return millis + 2_000;
  }

  /** Cuts some zones off from the others, with their engines; the store is on one side or both. */
  private long partition() {
    List<String> zones = new ArrayList<>(simulation.zones());
    Set<String> inside = new TreeSet<>();
    Set<String> outside = new TreeSet<>();
    int count = zones.size() == 1 ? 0 : 1 + random.nextInt(zones.size() - 1);
    List<String> cutOff = zones.subList(0, count);
    for (String host : simulation.hostNames()) {
      (cutOff.contains(simulation.zoneOf(host)) ? inside : outside).add(host);
    }
    for (String engine : simulation.engineNames()) {
      (cutOff.contains(simulation.engine(engine).zone()) ? inside : outside).add(engine);
    }
    int side = random.nextInt(3);
    if (side < 2) {
      (side == 0 ? inside : outside).add(SimulatedStore.NAME);
    }
    return cut(inside, outside, true, between(2_000, 8_000));
  }
}
