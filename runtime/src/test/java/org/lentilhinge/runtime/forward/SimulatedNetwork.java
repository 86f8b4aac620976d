package org.lentilhinge.runtime.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.runtime.peer.LinkFailure;

/** Links between hosts, engines and the store, with delays and cuts in one direction each. */
final class SimulatedNetwork {

  private static final int LOCAL_MILLIS = 2;
  private static final int REGION_MILLIS = 30;

  /** The earliest and the latest time after which a host notices that a link is cut. */
  private static final int SILENCE_MILLIS = 2_000;

  private static final int SILENCE_SPREAD_MILLIS = 1_000;

  private static final long HANDSHAKE_TIMEOUT_MILLIS = 2_000;
  private static final long MINIMUM_PAUSE_MILLIS = 50;
  private static final long MAXIMUM_PAUSE_MILLIS = 2_000;

  private final OwnershipSimulation simulation;
  private final Random random;
  private final Map<String, SimulatedHost> hosts = new HashMap<>();
  private final Map<String, String> regions = new HashMap<>();
  private final Map<String, Long> healedAtMillis = new HashMap<>();
  private final Map<String, Map<String, Long>> lastArrivals = new HashMap<>();
  private final List<Cut> cuts = new ArrayList<>();
  private final Map<String, LostLink> lostLinks = new HashMap<>();

  /** A connection that was given up: attempts to connect again time out, with pauses between. */
  private static final class LostLink {
    private boolean connecting;
    private int failures;
    private long pausedUntilMillis;
  }

  /**
   * A cut in one direction.
   *
   * @param from the nodes whose messages are lost
   * @param to the nodes that do not receive them
   */
  record Cut(Set<String> from, Set<String> to) {}

  SimulatedNetwork(OwnershipSimulation simulation, Random random) {
    this.simulation = simulation;
    this.random = random;
  }

  void addNode(String name, String region) {
    regions.put(name, region);
  }

  /** Connects the process that runs on a host now. */
  void connect(SimulatedHost host) {
    hosts.put(host.name(), host);
  }

  /** Cuts messages for some time; hosts notice cuts that last for more than 2 to 3 s. */
  void cut(Set<String> from, Set<String> to, long millis) {
    // Sorted, because the order of immutable sets differs between two runs of the same seed.
    Cut cut = new Cut(new TreeSet<>(from), new TreeSet<>(to));
    cuts.add(cut);
    for (String source : cut.from()) {
      for (String target : cut.to()) {
        long silenceMillis = SILENCE_MILLIS + random.nextInt(SILENCE_SPREAD_MILLIS);
        if (silenceMillis < millis && !source.equals(target)) {
          simulation.schedule(
              silenceMillis,
              () -> {
                giveUpLink(source, target);
                giveUpLink(target, source);
              });
        }
      }
    }
    simulation.schedule(millis, () -> heal(cut));
  }

  private void heal(Cut cut) {
    cuts.remove(cut);
    lostLinks.keySet().removeIf(link -> !isCut(link) && !isCut(reverse(link)));
    cut.from().forEach(name -> healedAtMillis.put(name, simulation.now()));
    cut.to().forEach(name -> healedAtMillis.put(name, simulation.now()));
  }

  /** Returns when a link of a node last healed; a long time ago if never. */
  long healedAtMillis(String name) {
    return healedAtMillis.getOrDefault(name, -1_000_000L);
  }

  private boolean isCut(String from, String to) {
    for (Cut cut : cuts) {
      if (cut.from().contains(from) && cut.to().contains(to)) {
        return true;
      }
    }
    return false;
  }

  private static String link(String from, String to) {
    return from + ' ' + to;
  }

  private static String reverse(String link) {
    int space = link.indexOf(' ');
    return link(link.substring(space + 1), link.substring(0, space));
  }

  private boolean isCut(String link) {
    int space = link.indexOf(' ');
    return isCut(link.substring(0, space), link.substring(space + 1));
  }

  private void giveUpLink(String host, String peer) {
    lostLinks.put(link(host, peer), new LostLink());
    loseLink(host, peer, LinkFailure.SILENT);
  }

  /** Reports an undelivered message in the way of the links between real hosts. */
  private void reportUndelivered(String host, String peer) {
    LostLink lost = lostLinks.get(link(host, peer));
    if (lost == null) {
      return;
    }
    if (simulation.now() < lost.pausedUntilMillis) {
      loseLink(host, peer, LinkFailure.UNREACHABLE);
    } else if (!lost.connecting) {
      lost.connecting = true;
      simulation.schedule(
          HANDSHAKE_TIMEOUT_MILLIS,
          () -> {
            lost.connecting = false;
            long pauseMillis = MINIMUM_PAUSE_MILLIS << Math.min(lost.failures, 5);
            lost.failures++;
            lost.pausedUntilMillis = simulation.now() + Math.min(MAXIMUM_PAUSE_MILLIS, pauseMillis);
            if (lostLinks.get(link(host, peer)) == lost) {
              loseLink(host, peer, LinkFailure.HANDSHAKE_TIMEOUT);
            }
          });
    }
  }

  private void loseLink(String host, String peer, LinkFailure failure) {
    SimulatedHost process = hosts.get(host);
    if (process != null && process.isLinkedTo(peer)) {
      process.execute(0, () -> process.loseLink(peer, failure));
    }
  }

  /** Ends the links to a process that has ended. */
  void reset(String name) {
    for (SimulatedHost host : hosts.values()) {
      if (!host.name().equals(name) && !isCut(name, host.name())) {
        simulation.schedule(
            latencyMillis(name, host.name()),
            () -> loseLink(host.name(), name, LinkFailure.CLOSED));
      }
    }
  }

  private long latencyMillis(String from, String to) {
    boolean sameRegion = regions.get(from).equals(regions.get(to));
    return (sameRegion ? 0 : REGION_MILLIS) + 1 + random.nextInt(LOCAL_MILLIS);
  }

  /** Sends a message between hosts; messages on the same link keep their order. */
  void send(SimulatedHost from, String to, PeerMessage message) {
    if (from.name().equals(to)) {
      from.execute(0, () -> from.handle(to, message));
      return;
    }
    SimulatedHost target = hosts.get(to);
    if (target == null) {
      return;
    }
    if (isCut(from.name(), to)) {
      reportUndelivered(from.name(), to);
      return;
    }
    if (!target.isRunning()) {
      simulation.schedule(
          latencyMillis(from.name(), to), () -> loseLink(from.name(), to, LinkFailure.REFUSED));
      return;
    }
    Map<String, Long> arrivals =
        lastArrivals.computeIfAbsent(from.name(), unused -> new HashMap<>());
    long now = simulation.now();
    long arrivalMillis =
        Math.max(now + latencyMillis(from.name(), to), arrivals.getOrDefault(to, 0L));
    arrivals.put(to, arrivalMillis);
    simulation.schedule(
        arrivalMillis - now,
        () -> {
          if (hosts.get(to) == target && !isCut(from.name(), to)) {
            target.run(() -> target.handle(from.name(), message));
          }
        });
  }

  /** Carries a call or its response, and runs a task on its arrival unless it is cut. */
  void transfer(String from, String to, Runnable task) {
    if (!isCut(from, to)) {
      simulation.schedule(
          latencyMillis(from, to),
          () -> {
            if (!isCut(from, to)) {
              task.run();
            }
          });
    }
  }
}
