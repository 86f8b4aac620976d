package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.lentilhinge.permit.OwnerRanking;

/**
 * One engine in one zone. The host that ranks second owns the engine, as the first one joins later,
 * and it is idle from {@link #FAULT_MILLIS} on.
 */
final class OwnershipScenario {

  static final String ENGINE = "e0";

  /** The time from which on the engine is idle, in milliseconds. */
  static final long FAULT_MILLIS = 20_000;

  /** The number of hosts of a zone that receives claims through relays. */
  static final int LARGE_ZONE = 14;

  /** The number of hosts of a zone whose hosts receive claims directly. */
  static final int SMALL_ZONE = 4;

  private static final long LOAD_FROM_MILLIS = 3_000;
  private static final long LOAD_INTERVAL_MILLIS = 200;
  private static final long JOIN_MILLIS = 12_000;

  private final OwnershipSimulation simulation;
  private final Random random;
  private final String first;
  private final String owner;

  OwnershipScenario(int hosts, long seed, Function<String, EventLog> logs) {
    random = new Random(seed);
    simulation = new OwnershipSimulation(List.of(hosts), 1, seed, logs);
    List<String> ranking =
        OwnerRanking.rank(
            ENGINE,
            simulation.engine(ENGINE).zone(),
            simulation.regionOf(simulation.hostNames().get(0)),
            simulation.hostNames().stream()
                .map(
                    host ->
                        new OwnerRanking.Candidate(
                            host, simulation.zoneOf(host), simulation.regionOf(host)))
                .toList());
    first = ranking.get(0);
    owner = ranking.get(1);
    for (String host : simulation.hostNames()) {
      simulation.at(
          host.equals(first) ? JOIN_MILLIS : random.nextInt(300), () -> simulation.start(host));
    }
    load(LOAD_FROM_MILLIS, FAULT_MILLIS, LOAD_INTERVAL_MILLIS);
  }

  OwnershipSimulation simulation() {
    return simulation;
  }

  /** Returns the host that ranks first and does not own the engine. */
  String first() {
    return first;
  }

  /** Returns the host that owns the engine until the fault. */
  String owner() {
    return owner;
  }

  /** Returns a random time, in milliseconds. */
  long between(long fromMillis, long toMillis) {
    return fromMillis + random.nextInt((int) (toMillis - fromMillis));
  }

  /** Returns the relay that passes the owner's claims on to the other hosts of the zone. */
  String relay() {
    return simulation.relay(owner, simulation.zoneOf(owner));
  }

  /** Returns all hosts but one. */
  Set<String> allBut(String host) {
    Set<String> others = new TreeSet<>(simulation.hostNames());
    others.remove(host);
    return others;
  }

  /** Has any hosts request permits for changing adapters. */
  void load(long fromMillis, long toMillis, long intervalMillis) {
    List<String> hosts = simulation.hostNames();
    for (long time = fromMillis;
        time < toMillis;
        time += intervalMillis / 2 + random.nextInt((int) intervalMillis)) {
      request(time, hosts.get(random.nextInt(hosts.size())));
    }
  }

  /** Has one host request permits for changing adapters. */
  void loadOf(String host, long fromMillis, long toMillis, long intervalMillis) {
    for (long time = fromMillis;
        time < toMillis;
        time += intervalMillis / 2 + random.nextInt((int) intervalMillis)) {
      request(time, host);
    }
  }

  private void request(long atMillis, String host) {
    simulation.at(atMillis, () -> simulation.request(ENGINE, host));
  }

  /** Stops each owner as planned as soon as its first order has arrived, and starts it again. */
  void stopEachNewOwner(long fromMillis, long toMillis, long stopMillis, long downMillis) {
    String[] stopped = {owner};
    for (long time = fromMillis; time < toMillis; time += 20) {
      simulation.at(
          time,
          () -> {
            Optional<String> latest = simulation.arrivals().lastHost(ENGINE);
            if (latest.filter(host -> isRunning(host) && !host.equals(stopped[0])).isPresent()) {
              stopped[0] = latest.get();
              simulation.stopAndStart(stopped[0], stopMillis, downMillis);
            }
          });
    }
  }

  private boolean isRunning(String host) {
    return simulation.host(host).filter(SimulatedHost::isRunning).isPresent();
  }
}
