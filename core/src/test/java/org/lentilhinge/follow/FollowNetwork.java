package org.lentilhinge.follow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.configuration.ConfigurationChecker;
import org.lentilhinge.identity.HostId;

/**
 * Simulates the followers of all hosts, their network and the platform's service in virtual time.
 */
final class FollowNetwork {

  private static final long LATENCY_MILLIS = 5;
  private static final String ROOT = "";

  final Map<HostId, ConfigurationFollower> followers = new TreeMap<>();
  final Map<HostId, List<FollowCommand>> commandsByHost = new HashMap<>();
  final List<Long> calls = new ArrayList<>();
  final Set<String> zonesWithoutService = new HashSet<>();
  final Set<String> zonesCutOff = new HashSet<>();
  long partBytes;
  long partsRead;
  boolean serviceDown;
  boolean corruptingParts;
  long nowMillis;
  private final ReaderSelector readerSelector;
  private final Random random;
  private final Map<String, String> values = new HashMap<>();
  private final Map<HostId, FollowCommand.Watch> watches = new HashMap<>();
  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atMillis)
              .thenComparingLong(ScheduledAction::sequence));
  private String servedText = ROOT;
  private long revision;
  private long sequence;

  FollowNetwork(ReaderSelector readerSelector, long seed) {
    this.readerSelector = readerSelector;
    this.random = new Random(seed);
  }

  static String zoneOf(HostId host) {
    return host.value().substring(0, host.value().indexOf('-'));
  }

  void start(HostId host) {
    followers.put(
        host,
        new ConfigurationFollower(
            host, readerSelector, new LineEntryReader(), new ConfigurationChecker(), random));
    commandsByHost.put(host, new ArrayList<>());
    watches.remove(host);
    followers.keySet().forEach(this::sendPeersChanged);
    schedule(random.nextLong(ConfigurationFollower.TICK_MILLIS), () -> tick(host));
  }

  private void sendPeersChanged(HostId host) {
    Set<HostId> zonePeers = new HashSet<>();
    Set<HostId> outsidePeers = new HashSet<>();
    for (HostId other : followers.keySet()) {
      if (!other.equals(host)) {
        (zoneOf(other).equals(zoneOf(host)) ? zonePeers : outsidePeers).add(other);
      }
    }
    schedule(
        0,
        () ->
            handle(
                host, new FollowEvent.PeersChanged(zonePeers, zonePeers.size() + 1, outsidePeers)));
  }

  void publish(String text) {
    revision++;
    servedText = text;
    answerWatches();
  }

  void publishPart(String text) {
    values.put(PartDigest.of(text).value(), text);
  }

  /** Serves an older text under the given revision, as a lagging replica does. */
  void serveStale(String text, long staleRevision) {
    servedText = text;
    revision = staleRevision;
  }

  void failService() {
    serviceDown = true;
    for (HostId host : List.copyOf(watches.keySet())) {
      watches.remove(host);
      schedule(LATENCY_MILLIS, () -> handle(host, new FollowEvent.WatchFailed("down")));
    }
  }

  void advance(long millis) {
    long endsAtMillis = nowMillis + millis;
    while (!queue.isEmpty() && queue.peek().atMillis() <= endsAtMillis) {
      ScheduledAction next = queue.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    nowMillis = endsAtMillis;
  }

  /**
   * Advances until all followers have applied a version. Returns the time that this took, or -1 if
   * the bound was exceeded.
   */
  long advanceUntilAll(long version, long boundMillis) {
    long startedAtMillis = nowMillis;
    while (nowMillis - startedAtMillis <= boundMillis) {
      if (followers.keySet().stream().allMatch(host -> versionOf(host) == version)) {
        return nowMillis - startedAtMillis;
      }
      advance(10);
    }
    return -1;
  }

  long versionOf(HostId host) {
    return followers.get(host).status().appliedVersion().version().number();
  }

  int maximumCallsInOneSecond(long sinceMillis) {
    int maximum = 0;
    int first = 0;
    for (int last = 0; last < calls.size(); last++) {
      while (calls.get(last) - calls.get(first) >= 1_000) {
        first++;
      }
      maximum = calls.get(last) >= sinceMillis ? Math.max(maximum, last - first + 1) : maximum;
    }
    return maximum;
  }

  private void tick(HostId host) {
    handle(host, new FollowEvent.TimerElapsed());
    schedule(ConfigurationFollower.TICK_MILLIS, () -> tick(host));
  }

  private void handle(HostId host, FollowEvent event) {
    for (FollowCommand command : followers.get(host).handle(event, nowMillis)) {
      commandsByHost.get(host).add(command);
      execute(host, command);
    }
  }

  private void execute(HostId host, FollowCommand command) {
    if (command instanceof FollowCommand.Watch watch) {
      calls.add(nowMillis);
      schedule(LATENCY_MILLIS, () -> watch(host, watch));
    } else if (command instanceof FollowCommand.ReadPart read) {
      calls.add(nowMillis);
      schedule(LATENCY_MILLIS, () -> handle(host, readPart(host, read.digest())));
    } else if (command instanceof FollowCommand.Send send) {
      send(host, send);
    }
  }

  private void send(HostId host, FollowCommand.Send send) {
    boolean sameZone = zoneOf(host).equals(zoneOf(send.peer()));
    boolean cut = zonesCutOff.contains(zoneOf(host)) || zonesCutOff.contains(zoneOf(send.peer()));
    if (sameZone || !cut) {
      FollowEvent received = new FollowEvent.PeerMessageReceived(host, corruptPart(send).message());
      schedule(LATENCY_MILLIS, () -> handle(send.peer(), received));
    }
  }

  private FollowCommand.Send corruptPart(FollowCommand.Send send) {
    if (send.message() instanceof PartResponse response && response.text().isPresent()) {
      partBytes += response.text().get().length();
      if (corruptingParts) {
        return new FollowCommand.Send(
            send.peer(),
            new PartResponse(response.digest(), response.text().map(text -> text + "x")));
      }
    }
    return send;
  }

  private boolean isServed(HostId host) {
    return !serviceDown && !zonesWithoutService.contains(zoneOf(host));
  }

  private void watch(HostId host, FollowCommand.Watch watch) {
    if (!isServed(host)) {
      handle(host, new FollowEvent.WatchFailed("down"));
    } else if (revision > watch.afterRevision()) {
      handle(host, new FollowEvent.WatchAnswered(servedText, revision));
    } else {
      watches.put(host, watch);
      schedule(watch.waitMillis(), () -> expire(host, watch));
    }
  }

  private void expire(HostId host, FollowCommand.Watch watch) {
    if (watches.remove(host, watch)) {
      handle(host, new FollowEvent.WatchUnchanged());
    }
  }

  private FollowEvent readPart(HostId host, PartDigest digest) {
    String text = values.get(digest.value());
    if (!isServed(host) || text == null) {
      return new FollowEvent.PartReadFailed(digest, "down");
    }
    partsRead++;
    return new FollowEvent.PartRead(digest, text);
  }

  private void answerWatches() {
    for (HostId host : List.copyOf(watches.keySet())) {
      if (isServed(host)) {
        watches.remove(host);
        String text = servedText;
        long answeredRevision = revision;
        schedule(
            LATENCY_MILLIS,
            () -> handle(host, new FollowEvent.WatchAnswered(text, answeredRevision)));
      }
    }
  }

  private void schedule(long delayMillis, Runnable action) {
    sequence++;
    queue.add(new ScheduledAction(nowMillis + delayMillis, sequence, action));
  }

  private record ScheduledAction(long atMillis, long sequence, Runnable action) {}
}
