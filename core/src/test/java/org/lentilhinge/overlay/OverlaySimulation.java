package org.lentilhinge.overlay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.message.PeerMessage;

/** Overlays of many hosts in virtual time, with delays, losses, cuts, pauses and kills. */
final class OverlaySimulation {

  private static final long TICK_MILLIS = 50;
  private static final int SEEDS = 3;

  private final Random random;
  private final Map<String, Host> hosts = new TreeMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<String> seeds = new ArrayList<>();
  private final Map<String, Integer> groups = new HashMap<>();
  private final Set<String> muteHosts = new HashSet<>();
  private double lossShare;
  private long now;
  private long sequence;
  long sentMessages;
  final Map<String, Long> sentByKind = new TreeMap<>();

  private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private static final class Host {
    private HostOverlay overlay;
    private boolean running;
    private long pausedUntilMillis;
    private int life;
    private final Map<String, Long> lostAtMillis = new HashMap<>();
  }

  OverlaySimulation(long seed, int hostCount) {
    random = new Random(seed);
    for (int index = 0; index < hostCount; index++) {
      String name = "10.0." + index / 100 + "." + index % 100;
      hosts.put(name, new Host());
      groups.put(name, 0);
      if (index < SEEDS) {
        seeds.add(name);
      }
    }
    names().forEach(name -> at(random.nextInt(300), () -> start(name, 0)));
  }

  List<String> names() {
    return new ArrayList<>(hosts.keySet());
  }

  /** Starts a host; its wall clock, from which the first version comes, is off by some time. */
  void start(String name, long clockErrorMillis) {
    Host host = hosts.get(name);
    host.running = true;
    host.life++;
    host.lostAtMillis.clear();
    String zone = "zone-" + Math.floorMod(name.hashCode(), 6);
    HostRecord self =
        new HostRecord(
            name, zone, "region", random.nextLong(), 1_000_000 + now + clockErrorMillis, false);
    host.overlay = new HostOverlay(self, seeds, new Random(random.nextLong()));
    tick(name, host.life);
  }

  void kill(String name) {
    hosts.get(name).running = false;
  }

  void pause(String name, long millis) {
    hosts.get(name).pausedUntilMillis = now + millis;
  }

  void leave(String name) {
    execute(name, hosts.get(name).overlay.leave());
  }

  void cut(Set<String> group) {
    names().forEach(name -> groups.put(name, group.contains(name) ? 1 : 0));
  }

  /** Cuts a host off from all others. */
  void separate(String name) {
    groups.put(name, 1 + names().indexOf(name));
  }

  /** Loses all messages of a host, which receives those of the others. */
  void mute(String name) {
    muteHosts.add(name);
  }

  void heal() {
    muteHosts.clear();
    names().forEach(name -> groups.put(name, 0));
  }

  void loseShare(double share) {
    lossShare = share;
  }

  Set<String> running() {
    Set<String> running = new HashSet<>();
    hosts.forEach(
        (name, host) -> {
          if (host.running) {
            running.add(name);
          }
        });
    return running;
  }

  /** Returns the hosts that a host regards as live, itself included. */
  Set<String> view(String name) {
    Set<String> view = new HashSet<>(Set.of(name));
    hosts.get(name).overlay.liveHosts().forEach(entry -> view.add(entry.host()));
    return view;
  }

  HostOverlay overlay(String name) {
    return hosts.get(name).overlay;
  }

  long now() {
    return now;
  }

  void run(long millis) {
    long end = now + millis;
    while (!events.isEmpty() && events.peek().atMillis() <= end) {
      Event event = events.remove();
      now = event.atMillis();
      event.action().run();
    }
    now = end;
  }

  private void at(long atMillis, Runnable action) {
    events.add(new Event(atMillis, sequence++, action));
  }

  private void tick(String name, int life) {
    Host host = hosts.get(name);
    if (!host.running || host.life != life) {
      return;
    }
    if (host.pausedUntilMillis <= now) {
      execute(name, host.overlay.onTick(now));
    }
    at(Math.max(now + TICK_MILLIS, host.pausedUntilMillis), () -> tick(name, life));
  }

  private void execute(String from, List<OverlayCommand> commands) {
    for (OverlayCommand command : commands) {
      if (command instanceof OverlayCommand.Send send) {
        send(from, send.host(), send.message());
      }
    }
  }

  private void send(String from, String to, PeerMessage message) {
    sentMessages++;
    sentByKind.merge(message.getClass().getSimpleName(), 1L, Long::sum);
    boolean lost =
        random.nextDouble() < lossShare
            || muteHosts.contains(from)
            || !groups.get(from).equals(groups.get(to));
    if (!lost) {
      at(now + 1 + random.nextInt(60), () -> deliver(from, to, message));
    }
  }

  private void deliver(String from, String to, PeerMessage message) {
    Host host = hosts.get(to);
    if (host == null || !host.running || !groups.get(from).equals(groups.get(to))) {
      return;
    }
    if (host.pausedUntilMillis > now) {
      at(host.pausedUntilMillis, () -> deliver(from, to, message));
      return;
    }
    execute(to, host.overlay.onMessage(from, message, now));
  }
}
