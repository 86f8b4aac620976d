package org.lentilhinge.overlay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.message.PeerMessage;

/**
 * The membership of one host. The host sends heartbeats to its neighbors in {@link HostRing}, which
 * watch it. A neighbor that misses heartbeats probes the host and, without a response, gossips a
 * suspicion; a host that does not refute it is lost (SWIM, Das et al. 2002, with its neighbors as
 * the members that probe it). Digests in the heartbeats reveal views that differ.
 */
public final class HostOverlay {

  private static final long HEARTBEAT_INTERVAL_MILLIS = 300;

  /** The interval of attempts to contact a seed or a lost host, in milliseconds. */
  private static final long CONTACT_INTERVAL_MILLIS = 1_000;

  /**
   * The same interval while no host is known, in milliseconds. A seed that starts at the same time
   * may not listen yet.
   */
  private static final long FIRST_CONTACT_INTERVAL_MILLIS = 300;

  /**
   * The interval of probes of any live host, in milliseconds. They find a host that failed before
   * its neighbors received a heartbeat.
   */
  private static final long RANDOM_PROBE_INTERVAL_MILLIS = 2_000;

  /** The minimum interval between two tables for the same host, in milliseconds. */
  private static final long TABLE_INTERVAL_MILLIS = 1_000;

  /** The number of successive heartbeats with another digest after which a table is sent. */
  private static final int DIFFERING_HEARTBEATS = 2;

  /** The gap between ticks above which this host's own pause explains the silence of others. */
  private static final long MAXIMUM_TICK_GAP_MILLIS = 500;

  private HostRecord self;
  private final Set<String> seeds;
  private final Random random;
  private final HostView view = new HostView();
  private final Set<String> disconnected = new HashSet<>();
  private final FailureDetector detector = new FailureDetector();
  private final Map<String, Long> tableSentAtMillis = new HashMap<>();
  private final Map<String, Integer> differingHeartbeats = new HashMap<>();
  private final Map<String, HostRecord> recordsToGossip = new TreeMap<>();
  private final Map<String, HostSuspicion> suspicionsToGossip = new TreeMap<>();
  private final List<String> probeOrder = new ArrayList<>();
  private Set<String> neighbors = Set.of();
  private boolean neighborsOutdated;
  private long generation;
  private long nextHeartbeatAtMillis;
  private long nextContactAtMillis;
  private long nextRandomProbeAtMillis;
  private long lastTickAtMillis = Long.MIN_VALUE;
  private final HostMajority majority;

  /**
   * Creates the overlay of a host that has just started.
   *
   * @param self the host's record
   * @param seeds the names of the hosts that are known at startup
   * @param random selects the hosts to probe
   */
  public HostOverlay(HostRecord self, Collection<String> seeds, Random random) {
    this.self = self;
    this.seeds = new LinkedHashSet<>(seeds);
    this.random = random;
    this.seeds.remove(self.host());
    majority = new HostMajority(self.host(), this.seeds, view, detector);
  }

  /**
   * Replaces the seed hosts. Those that are known stay known.
   *
   * @param names the names of the hosts to contact
   */
  public void setSeeds(Collection<String> names) {
    seeds.clear();
    seeds.addAll(names);
    seeds.remove(self.host());
  }

  /**
   * Handles a message of this protocol.
   *
   * @param from the host that sent it
   * @param message the message; others are ignored
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<OverlayCommand> onMessage(String from, PeerMessage message, long nowMillis) {
    List<OverlayCommand> commands = new ArrayList<>();
    if (message instanceof HostHeartbeat heartbeat) {
      onHeartbeat(heartbeat, nowMillis, commands);
    } else if (message instanceof HostProbe probe) {
      recordContact(probe.sender(), nowMillis, commands);
      detector.recordAcceptance(from, nowMillis);
      send(from, heartbeat(neighbors.contains(from)), commands);
    } else if (message instanceof HostGossip gossip) {
      onGossip(from, gossip, nowMillis, commands);
    } else if (message instanceof HostTable table) {
      onTable(from, table, commands);
    }
    return commands;
  }

  private void onHeartbeat(HostHeartbeat heartbeat, long nowMillis, List<OverlayCommand> commands) {
    String host = heartbeat.sender().host();
    boolean unknown = view.find(host).isEmpty();
    recordContact(heartbeat.sender(), nowMillis, commands);
    detector.setWatched(host, heartbeat.watched(), nowMillis);
    if (heartbeat.digest() == view.digestWith(self)) {
      differingHeartbeats.remove(host);
    } else if (unknown
        || differingHeartbeats.merge(host, 1, Integer::sum) >= DIFFERING_HEARTBEATS) {
      sendTable(host, true, nowMillis, commands);
    }
  }

  /** Handles a record that its host sent itself: the host is running. */
  private void recordContact(HostRecord sender, long nowMillis, List<OverlayCommand> commands) {
    String host = sender.host();
    merge(sender, commands, new ArrayList<>());
    disconnected.remove(host);
    if (detector.recordContact(host, nowMillis)) {
      HostSuspicion suspicion = new HostSuspicion(host, sender.version());
      send(host, new HostGossip(List.of(), List.of(suspicion)), commands);
    }
    Optional<HostRecord> known = view.find(host);
    boolean outdated = known.filter(entry -> entry.life() != sender.life()).isPresent();
    if (outdated) {
      // The host was restarted with a lower version: it raises it when it reads this record.
      send(host, new HostGossip(List.of(known.get()), List.of()), commands);
    } else if (known.isEmpty() && view.lostVersion(host).isPresent()) {
      HostSuspicion suspicion = new HostSuspicion(host, view.lostVersion(host).getAsLong());
      send(host, new HostGossip(List.of(), List.of(suspicion)), commands);
    }
  }

  private void onGossip(
      String from, HostGossip gossip, long nowMillis, List<OverlayCommand> commands) {
    long formerVersion = self.version();
    mergeAll(from, gossip.records(), commands);
    gossip.suspicions().forEach(suspicion -> onSuspicion(suspicion, nowMillis, commands));
    if (self.version() != formerVersion) {
      // The sender may not be reached by gossip: it may have lost this host.
      send(from, heartbeat(neighbors.contains(from)), commands);
    }
  }

  /** Merges records and tells the sender which of their hosts are lost. */
  private void mergeAll(
      String from, Collection<HostRecord> records, List<OverlayCommand> commands) {
    List<HostSuspicion> lost = new ArrayList<>();
    records.forEach(entry -> merge(entry, commands, lost));
    if (!lost.isEmpty()) {
      send(from, new HostGossip(List.of(), lost), commands);
    }
  }

  private void merge(
      HostRecord entry, List<OverlayCommand> commands, List<HostSuspicion> lostHosts) {
    if (entry.host().equals(self.host())) {
      boolean foreign = entry.life() != self.life() && entry.version() >= self.version();
      if (foreign || entry.version() > self.version()) {
        raiseVersion(entry.version());
      }
      return;
    }
    if (view.lostVersion(entry.host()).orElse(Long.MIN_VALUE) >= entry.version()) {
      long lostVersion = view.lostVersion(entry.host()).getAsLong();
      lostHosts.add(new HostSuspicion(entry.host(), lostVersion));
      return;
    }
    Optional<HostRecord> known = view.find(entry.host());
    if (known.isPresent() && !entry.replaces(known.get())) {
      return;
    }
    view.put(entry);
    if (detector.clearSuspicion(entry.host())) {
      disconnected.remove(entry.host());
    }
    recordsToGossip.put(entry.host(), entry);
    reportChange(known, entry, commands);
  }

  private void reportChange(
      Optional<HostRecord> known, HostRecord entry, List<OverlayCommand> commands) {
    if (known.isEmpty()) {
      neighborsOutdated = true;
      generation++;
      commands.add(new OverlayCommand.Joined(entry));
    } else if (known.get().life() != entry.life()) {
      generation++;
      commands.add(new OverlayCommand.Restarted(entry));
    }
    if (entry.leaving() && !known.filter(HostRecord::leaving).isPresent()) {
      generation++;
      commands.add(new OverlayCommand.Leaving(entry));
    }
  }

  private void raiseVersion(long aboveVersion) {
    self = self.withVersion(aboveVersion + 1);
    recordsToGossip.put(self.host(), self);
  }

  private void onSuspicion(HostSuspicion suspicion, long nowMillis, List<OverlayCommand> commands) {
    if (suspicion.host().equals(self.host())) {
      if (suspicion.version() >= self.version()) {
        raiseVersion(suspicion.version());
      }
      return;
    }
    Optional<HostRecord> known =
        view.find(suspicion.host()).filter(entry -> entry.version() <= suspicion.version());
    if (known.isPresent() && detector.suspect(suspicion.host(), nowMillis)) {
      suspicionsToGossip.put(suspicion.host(), suspicion);
      disconnected.add(suspicion.host());
      commands.add(new OverlayCommand.Suspected(known.get()));
    }
  }

  private void onTable(String from, HostTable table, List<OverlayCommand> commands) {
    mergeAll(from, table.records(), commands);
    Map<String, Long> versions = new HashMap<>();
    table.records().forEach(entry -> versions.put(entry.host(), entry.version()));
    List<HostRecord> newer =
        allRecords().stream()
            .filter(entry -> versions.getOrDefault(entry.host(), Long.MIN_VALUE) < entry.version())
            .toList();
    if (table.answerRequested() && !newer.isEmpty()) {
      send(from, new HostTable(newer, false), commands);
    }
  }

  /**
   * Sends due messages and detects lost hosts. Must be called several times per second.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<OverlayCommand> onTick(long nowMillis) {
    List<OverlayCommand> commands = new ArrayList<>();
    if (lastTickAtMillis != Long.MIN_VALUE
        && nowMillis - lastTickAtMillis > MAXIMUM_TICK_GAP_MILLIS) {
      detector.excuseSilence(nowMillis);
    }
    lastTickAtMillis = nowMillis;
    view.forgetLost(nowMillis);
    for (String host : detector.removeUnrefuted(nowMillis)) {
      view.find(host).ifPresent(lostHost -> lose(lostHost, nowMillis, commands));
    }
    for (String host : detector.removeUnresponsive(nowMillis)) {
      view.find(host)
          .map(silent -> new HostSuspicion(host, silent.version()))
          .ifPresent(suspicion -> onSuspicion(suspicion, nowMillis, commands));
    }
    detector.silentHosts(nowMillis).forEach(host -> probe(host, nowMillis, commands));
    disconnected.forEach(host -> probe(host, nowMillis, commands));
    if (neighborsOutdated) {
      updateNeighbors(nowMillis, commands);
    }
    if (nowMillis >= nextHeartbeatAtMillis) {
      nextHeartbeatAtMillis = nowMillis + HEARTBEAT_INTERVAL_MILLIS;
      neighbors.forEach(host -> send(host, heartbeat(true), commands));
    }
    if (nowMillis >= nextContactAtMillis) {
      boolean alone = view.live().isEmpty();
      nextContactAtMillis =
          nowMillis + (alone ? FIRST_CONTACT_INTERVAL_MILLIS : CONTACT_INTERVAL_MILLIS);
      contactAbsentHosts(commands);
    }
    if (nowMillis >= nextRandomProbeAtMillis) {
      nextRandomProbeAtMillis = nowMillis + RANDOM_PROBE_INTERVAL_MILLIS;
      nextToProbe().ifPresent(host -> probe(host, nowMillis, commands));
    }
    majority.update(neighbors, disconnected, nowMillis);
    sendGossip(commands);
    return commands;
  }

  private void lose(HostRecord host, long nowMillis, List<OverlayCommand> commands) {
    view.lose(host, nowMillis);
    detector.remove(host.host());
    disconnected.remove(host.host());
    differingHeartbeats.remove(host.host());
    tableSentAtMillis.remove(host.host());
    neighborsOutdated = true;
    generation++;
    commands.add(new OverlayCommand.Lost(host));
  }

  private void probe(String host, long nowMillis, List<OverlayCommand> commands) {
    if (view.find(host).isPresent() && detector.startProbe(host, nowMillis)) {
      send(host, new HostProbe(self), commands);
    }
  }

  /**
   * Updates the neighbors. New ones are probed, so that the hosts on the other side of a partition
   * are found even if none of their watchers is on this side.
   */
  private void updateNeighbors(long nowMillis, List<OverlayCommand> commands) {
    neighborsOutdated = false;
    Set<String> former = neighbors;
    neighbors =
        HostRing.neighbors(self.host(), view.live().stream().map(HostRecord::host).toList());
    for (String host : former) {
      if (!neighbors.contains(host) && view.find(host).isPresent()) {
        send(host, heartbeat(false), commands);
      }
    }
    for (String host : neighbors) {
      if (!former.contains(host)) {
        send(host, heartbeat(true), commands);
        probe(host, nowMillis, commands);
      }
    }
  }

  /** Sends a heartbeat to an absent seed or lost host, to all seeds while no host is known. */
  private void contactAbsentHosts(List<OverlayCommand> commands) {
    Set<String> absent = new LinkedHashSet<>(seeds);
    absent.addAll(view.lost());
    absent.removeIf(host -> view.find(host).isPresent());
    List<String> contacted = new ArrayList<>(absent);
    if (!view.live().isEmpty() && !contacted.isEmpty()) {
      contacted = List.of(contacted.get(random.nextInt(contacted.size())));
    }
    contacted.forEach(host -> send(host, heartbeat(false), commands));
  }

  private Optional<String> nextToProbe() {
    probeOrder.removeIf(host -> view.find(host).isEmpty());
    if (probeOrder.isEmpty()) {
      view.live().forEach(host -> probeOrder.add(host.host()));
      Collections.sort(probeOrder);
      Collections.shuffle(probeOrder, random);
    }
    return probeOrder.isEmpty()
        ? Optional.empty()
        : Optional.of(probeOrder.remove(probeOrder.size() - 1));
  }

  private void sendGossip(List<OverlayCommand> commands) {
    if (recordsToGossip.isEmpty() && suspicionsToGossip.isEmpty()) {
      return;
    }
    HostGossip gossip =
        new HostGossip(
            List.copyOf(recordsToGossip.values()), List.copyOf(suspicionsToGossip.values()));
    recordsToGossip.clear();
    suspicionsToGossip.clear();
    neighbors.forEach(host -> send(host, gossip, commands));
  }

  private void sendTable(
      String host, boolean answerRequested, long nowMillis, List<OverlayCommand> commands) {
    Long sentAtMillis = tableSentAtMillis.get(host);
    if (sentAtMillis == null || nowMillis - sentAtMillis >= TABLE_INTERVAL_MILLIS) {
      tableSentAtMillis.put(host, nowMillis);
      differingHeartbeats.remove(host);
      send(host, new HostTable(allRecords(), answerRequested), commands);
    }
  }

  private List<HostRecord> allRecords() {
    List<HostRecord> records = new ArrayList<>(view.live());
    records.add(self);
    return records;
  }

  private HostHeartbeat heartbeat(boolean watched) {
    return new HostHeartbeat(self, view.digestWith(self), watched);
  }

  private static void send(String host, PeerMessage message, List<OverlayCommand> commands) {
    commands.add(new OverlayCommand.Send(host, message));
  }

  /**
   * Announces the planned shutdown of this host.
   *
   * @return the commands
   */
  public List<OverlayCommand> leave() {
    List<OverlayCommand> commands = new ArrayList<>();
    self = self.asLeaving();
    recordsToGossip.put(self.host(), self);
    generation++;
    sendGossip(commands);
    return commands;
  }

  /**
   * Records that no message can be sent to a host at the moment. The host is probed at once and
   * receives no requests until it responds.
   *
   * @param host the host
   */
  public void markDisconnected(String host) {
    if (view.find(host).isPresent()) {
      disconnected.add(host);
    }
  }

  /**
   * Returns whether requests can be sent to a host.
   *
   * @param host the host
   * @return whether the host responded after its link was last lost
   */
  public boolean isConnected(String host) {
    return !disconnected.contains(host);
  }

  /**
   * Returns the record of this host.
   *
   * @return what this host states about itself
   */
  public HostRecord self() {
    return self;
  }

  /**
   * Returns whether and since when this host is in the majority part of the network.
   *
   * @return the decision as of the last tick
   */
  public HostMajority majority() {
    return majority;
  }

  /**
   * Returns the generation of the live hosts and of those that are leaving.
   *
   * @return a number that changes with them
   */
  public long generation() {
    return generation;
  }

  /**
   * Lists the hosts that may own engines, including this host unless it is shutting down.
   *
   * @return the live hosts that are not shutting down
   */
  public List<HostRecord> candidates() {
    return allRecords().stream().filter(host -> !host.leaving()).toList();
  }

  /**
   * Returns the other live hosts.
   *
   * @return their records
   */
  public List<HostRecord> liveHosts() {
    return List.copyOf(view.live());
  }

  /**
   * Lists the hosts that this host may send messages to.
   *
   * @return the names of the seeds, the live and the lost hosts
   */
  public Set<String> addresses() {
    Set<String> names = new LinkedHashSet<>(seeds);
    view.live().forEach(host -> names.add(host.host()));
    names.addAll(view.lost());
    return names;
  }

  /**
   * Counts the hosts that share a limit of the whole deployment, including this host. Lost hosts
   * count for ten minutes, because they may still run and use their share.
   *
   * @return the number of hosts
   */
  public int sharingHostCount() {
    return view.live().size() + view.lost().size() + 1;
  }
}
