package org.lentilhinge.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.message.PeerMessage;

/**
 * Tracks which hosts exist and which of them are alive. Existing hosts are those of the platform's
 * list, or of the settings' seeds until the first list arrives; live hosts send heartbeats.
 */
public final class Membership {

  private static final int PROPAGATION_HEARTBEATS = 10;
  private static final int FULL_SUMMARY_ROUNDS = 6;

  private final HostIncarnation self;
  private final ZoneId zone;
  private final MembershipSettings settings;
  private final Map<HostId, ListedHost> listed = new TreeMap<>();
  private final Map<HostId, MemberRecord> records = new TreeMap<>();
  private final ExpiringSet<EndpointId> leavingEndpoints;
  private final ExpiringSet<HostId> leavingHosts;
  private final ZoneSummaries summaries;
  private ConfigurationVersion configuration = ConfigurationVersion.NONE;
  private long nextHeartbeatAtMillis;
  private long nextSummaryAtMillis;
  private long summaryRound;
  private long sentDigest;
  private boolean leaving;

  /**
   * Creates the membership of a host that has just started.
   *
   * @param self this host's incarnation
   * @param zone this host's zone
   * @param seeds the hosts named in the settings
   * @param settings the intervals
   * @param nowMillis the monotonic time, in milliseconds
   */
  public Membership(
      HostIncarnation self,
      ZoneId zone,
      Collection<ListedHost> seeds,
      MembershipSettings settings,
      long nowMillis) {
    this.self = self;
    this.zone = zone;
    this.settings = settings;
    this.summaries = new ZoneSummaries(self.host(), zone, settings.delegates());
    long propagationMillis = PROPAGATION_HEARTBEATS * settings.heartbeatMillis();
    // Propagated until they expire, so that a host that was disconnected receives them afterwards.
    this.leavingEndpoints =
        new ExpiringSet<>(settings.leavingRetentionMillis(), settings.leavingRetentionMillis());
    this.leavingHosts = new ExpiringSet<>(settings.leavingRetentionMillis(), propagationMillis);
    this.nextHeartbeatAtMillis = nowMillis;
    this.nextSummaryAtMillis = nowMillis;
    seeds.forEach(seed -> listed.put(seed.host(), seed));
  }

  /**
   * Handles the platform's list of all zones' hosts, which replaces the seeds or the last list.
   *
   * @param hosts the hosts
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<MembershipCommand> onHostList(Collection<ListedHost> hosts, long nowMillis) {
    listed.clear();
    hosts.forEach(host -> listed.put(host.host(), host));
    boolean changed = false;
    for (ListedHost host : hosts) {
      changed |=
          host.leaving() && host.zone().equals(zone) && addLeavingHost(host.host(), nowMillis);
    }
    List<MembershipCommand> commands = reportStates(nowMillis);
    if (changed) {
      commands.addAll(sendHeartbeats(nowMillis));
    }
    return commands;
  }

  /**
   * Handles a {@link Heartbeat}, {@link ZoneSummary} or {@link ZoneSummaryRequest}.
   *
   * @param from the sender
   * @param message the message
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands; none for any other message
   */
  public List<MembershipCommand> onMessage(HostId from, PeerMessage message, long nowMillis) {
    if (message instanceof Heartbeat heartbeat) {
      return onHeartbeat(heartbeat, nowMillis);
    }
    if (message instanceof ZoneSummary summary) {
      return onSummary(from, summary);
    }
    if (message instanceof ZoneSummaryRequest request && request.zone().equals(zone)) {
      return List.of(new MembershipCommand.Send(request.sender(), summary(true, nowMillis)));
    }
    return List.of();
  }

  /**
   * Sends due messages and reports state changes. Must be called several times per second.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<MembershipCommand> onTick(long nowMillis) {
    leavingEndpoints.expire(nowMillis);
    leavingHosts.expire(nowMillis);
    List<MembershipCommand> commands = reportStates(nowMillis);
    if (nowMillis >= nextHeartbeatAtMillis) {
      commands.addAll(sendHeartbeats(nowMillis));
    }
    if (nowMillis >= nextSummaryAtMillis) {
      commands.addAll(sendSummaries(nowMillis));
    }
    return commands;
  }

  /**
   * Records that an endpoint is leaving, from any source, and propagates the information in the
   * zone.
   *
   * @param endpoint the endpoint
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<MembershipCommand> onEndpointLeaving(EndpointId endpoint, long nowMillis) {
    if (!leavingEndpoints.add(endpoint, nowMillis)) {
      return List.of();
    }
    List<MembershipCommand> commands = sendHeartbeats(nowMillis);
    commands.add(0, new MembershipCommand.EndpointLeaving(endpoint));
    return commands;
  }

  /**
   * Records this host's configuration version.
   *
   * @param version the version
   */
  public void onConfiguration(ConfigurationVersion version) {
    configuration = version;
  }

  /**
   * Treats all hosts of the zone as silent until their next heartbeats arrive.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<MembershipCommand> onClockJump(long nowMillis) {
    records.values().forEach(known -> known.backdate(nowMillis - settings.suspectMillis()));
    nextHeartbeatAtMillis = nowMillis;
    return reportStates(nowMillis);
  }

  /**
   * Announces this host's planned stop in the zone.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<MembershipCommand> leave(long nowMillis) {
    leaving = true;
    return sendHeartbeats(nowMillis);
  }

  /**
   * Returns a snapshot of a host.
   *
   * @param host the host
   * @param nowMillis the monotonic time, in milliseconds
   * @return the snapshot, or empty if the host is not listed and no heartbeat from the host has
   *     arrived
   */
  public Optional<Member> member(HostId host, long nowMillis) {
    MemberRecord known = records.get(host);
    ListedHost entry = listed.get(host);
    if (known == null && entry == null && !host.equals(self.host())) {
      return Optional.empty();
    }
    ZoneId hostZone = entry == null ? zone : entry.zone();
    ConfigurationVersion sent = known == null ? ConfigurationVersion.NONE : known.configuration();
    ConfigurationVersion version = host.equals(self.host()) ? configuration : sent;
    return Optional.of(
        new Member(host, hostZone, state(host, nowMillis), incarnation(host), version));
  }

  /**
   * Returns a host's state; the state of a host in another zone is that in the zone's last summary.
   *
   * @param host the host
   * @param nowMillis the monotonic time, in milliseconds
   * @return the state
   */
  public MemberState state(HostId host, long nowMillis) {
    if (host.equals(self.host())) {
      return leaving ? MemberState.LEAVING : MemberState.LIVE;
    }
    MemberRecord known = records.get(host);
    if (known == null) {
      return remoteState(host);
    }
    long silenceMillis = known.silenceMillis(nowMillis);
    if (silenceMillis >= settings.goneMillis()) {
      return MemberState.GONE;
    }
    if (known.leaving() || leavingHosts.contains(host)) {
      return MemberState.LEAVING;
    }
    boolean suspect = silenceMillis >= settings.suspectMillis() || known.missesHeartbeats();
    return suspect ? MemberState.SUSPECT : MemberState.LIVE;
  }

  /**
   * Returns the live hosts of a zone, this host included.
   *
   * @param ofZone the zone
   * @param nowMillis the monotonic time, in milliseconds
   * @return the hosts
   */
  public Set<HostId> live(ZoneId ofZone, long nowMillis) {
    Set<HostId> live = new TreeSet<>(listed(ofZone));
    if (ofZone.equals(zone)) {
      live.addAll(records.keySet());
      live.add(self.host());
    }
    live.removeIf(host -> state(host, nowMillis) != MemberState.LIVE);
    return live;
  }

  /**
   * Returns the listed hosts of a zone, including leaving hosts.
   *
   * @param ofZone the zone
   * @return the hosts
   */
  public Set<HostId> listed(ZoneId ofZone) {
    return listed.values().stream()
        .filter(host -> host.zone().equals(ofZone))
        .map(ListedHost::host)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /**
   * Returns this host and the hosts of all zones that are listed or have sent a heartbeat.
   *
   * @return the hosts
   */
  public Set<HostId> known() {
    Set<HostId> known = new TreeSet<>(listed.keySet());
    known.addAll(records.keySet());
    known.add(self.host());
    return known;
  }

  /**
   * Returns a host's entry in the list, which contains its address.
   *
   * @param host the host
   * @return the entry, or empty if the host is not listed
   */
  public Optional<ListedHost> listing(HostId host) {
    return Optional.ofNullable(listed.get(host));
  }

  /**
   * Returns the endpoints that are known to be leaving.
   *
   * @return the endpoints
   */
  public Set<EndpointId> leavingEndpoints() {
    return leavingEndpoints.all();
  }

  private List<MembershipCommand> onHeartbeat(Heartbeat heartbeat, long nowMillis) {
    HostIncarnation sender = heartbeat.sender();
    MemberRecord known = records.get(sender.host());
    if (sender.host().equals(self.host()) || !heartbeat.zone().equals(zone)) {
      return List.of();
    }
    if (known != null && sender.number() < known.incarnation().number()) {
      return List.of();
    }
    List<MembershipCommand> commands = new ArrayList<>();
    if (known == null) {
      records.put(sender.host(), new MemberRecord(heartbeat, self.host(), nowMillis));
      commands.addAll(respondToStarted(sender, nowMillis));
    } else {
      if (sender.number() > known.incarnation().number()) {
        commands.add(new MembershipCommand.Restarted(known.incarnation(), sender));
        commands.addAll(respondToStarted(sender, nowMillis));
      }
      known.update(heartbeat, self.host(), nowMillis);
    }
    compareConfiguration(sender.host(), heartbeat.configuration(), commands);
    heartbeat.leavingHosts().forEach(host -> leavingHosts.add(host, nowMillis));
    for (LeavingEndpoint leavingEndpoint : heartbeat.leavingEndpoints()) {
      if (leavingEndpoints.add(
          leavingEndpoint.endpoint(), leavingEndpoint.ageMillis(), nowMillis)) {
        commands.add(new MembershipCommand.EndpointLeaving(leavingEndpoint.endpoint()));
      }
    }
    commands.addAll(reportStates(nowMillis));
    return commands;
  }

  /** Responds immediately to a host that has just started, instead of at the next heartbeat. */
  private List<MembershipCommand> respondToStarted(HostIncarnation started, long nowMillis) {
    List<MembershipCommand> commands =
        new ArrayList<>(summaries.sendAllTo(started.host(), live(zone, nowMillis)));
    commands.add(new MembershipCommand.Send(started.host(), heartbeat(nowMillis)));
    return commands;
  }

  private List<MembershipCommand> onSummary(HostId from, ZoneSummary summary) {
    ZoneId fromZone = Optional.ofNullable(listed.get(from)).map(ListedHost::zone).orElse(zone);
    List<MembershipCommand> commands = new ArrayList<>();
    compareConfiguration(from, summary.configuration(), commands);
    commands.addAll(summaries.onSummary(summary, from, fromZone, peers()));
    summary.leavingEndpoints().stream()
        .map(MembershipCommand.EndpointLeaving::new)
        .forEach(commands::add);
    return commands;
  }

  private void compareConfiguration(
      HostId peer, ConfigurationVersion version, List<MembershipCommand> commands) {
    if (version.compareTo(configuration) > 0) {
      commands.add(new MembershipCommand.ConfigurationAhead(peer, version));
    }
  }

  private boolean addLeavingHost(HostId host, long nowMillis) {
    return leavingHosts.add(host, nowMillis);
  }

  private List<MembershipCommand> sendHeartbeats(long nowMillis) {
    nextHeartbeatAtMillis = nowMillis + settings.heartbeatMillis();
    Heartbeat heartbeat = heartbeat(nowMillis);
    List<MembershipCommand> commands = new ArrayList<>();
    peers().forEach(peer -> commands.add(new MembershipCommand.Send(peer, heartbeat)));
    return commands;
  }

  private Heartbeat heartbeat(long nowMillis) {
    return new Heartbeat(
        self,
        zone,
        leaving,
        configuration,
        silentHosts(nowMillis),
        leavingHosts.elementsToPropagate(nowMillis),
        leavingEndpoints(nowMillis));
  }

  private List<LeavingEndpoint> leavingEndpoints(long nowMillis) {
    List<LeavingEndpoint> endpoints = new ArrayList<>();
    leavingEndpoints
        .ages(nowMillis)
        .forEach((endpoint, ageMillis) -> endpoints.add(new LeavingEndpoint(endpoint, ageMillis)));
    return endpoints;
  }

  /** Returns the listed hosts of the zone whose heartbeats are missing. */
  private List<HostId> silentHosts(long nowMillis) {
    List<HostId> hosts = new ArrayList<>();
    for (HostId host : listed(zone)) {
      MemberRecord known = records.get(host);
      boolean silent = known == null || known.silenceMillis(nowMillis) >= settings.suspectMillis();
      if (silent && !host.equals(self.host())) {
        hosts.add(host);
      }
    }
    return hosts;
  }

  /** Returns the other hosts of the zone that are listed or have sent a heartbeat. */
  private Set<HostId> peers() {
    Set<HostId> peers = listed(zone);
    peers.addAll(records.keySet());
    peers.remove(self.host());
    return peers;
  }

  private List<MembershipCommand> sendSummaries(long nowMillis) {
    nextSummaryAtMillis = nowMillis + settings.summaryMillis();
    ZoneSummary summary = summary(true, nowMillis);
    boolean full = summary.digest() != sentDigest || summaryRound++ % FULL_SUMMARY_ROUNDS == 0;
    ZoneSummary sent = full ? summary : summary(false, nowMillis);
    sentDigest = summary.digest();
    Set<HostId> ownHosts = live(zone, nowMillis);
    List<MembershipCommand> commands = new ArrayList<>();
    for (ZoneId other : otherZones()) {
      commands.addAll(summaries.send(sent, other, ownHosts, listed(other)));
    }
    return commands;
  }

  private Set<ZoneId> otherZones() {
    return listed.values().stream()
        .map(ListedHost::zone)
        .filter(other -> !other.equals(zone))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private ZoneSummary summary(boolean full, long nowMillis) {
    List<HostIncarnation> live = new ArrayList<>();
    List<HostIncarnation> stopping = new ArrayList<>();
    (leaving ? stopping : live).add(self);
    ConfigurationVersion highest = configuration;
    for (MemberRecord known : records.values()) {
      MemberState state = state(known.incarnation().host(), nowMillis);
      if (state == MemberState.LIVE) {
        live.add(known.incarnation());
      } else if (state == MemberState.LEAVING) {
        stopping.add(known.incarnation());
      }
      highest = highest.compareTo(known.configuration()) < 0 ? known.configuration() : highest;
    }
    live.sort(null);
    stopping.sort(null);
    List<EndpointId> endpoints = leavingEndpoints.elementsToPropagate(nowMillis);
    long digest = RendezvousHash.hash(live + "|" + stopping + "|" + endpoints);
    return full
        ? new ZoneSummary(zone, digest, highest, true, live, stopping, endpoints)
        : new ZoneSummary(zone, digest, highest, false, List.of(), List.of(), List.of());
  }

  private Optional<HostIncarnation> incarnation(HostId host) {
    if (host.equals(self.host())) {
      return Optional.of(self);
    }
    return Optional.ofNullable(records.get(host)).map(MemberRecord::incarnation);
  }

  private MemberState remoteState(HostId host) {
    ListedHost entry = listed.get(host);
    if (entry == null || entry.zone().equals(zone)) {
      return MemberState.GONE;
    }
    Optional<ZoneSummary> summary = summaries.latest(entry.zone());
    if (summary.filter(known -> contains(known.live(), host)).isPresent()) {
      return entry.leaving() ? MemberState.LEAVING : MemberState.LIVE;
    }
    boolean stopping = summary.filter(known -> contains(known.leaving(), host)).isPresent();
    return stopping ? MemberState.LEAVING : MemberState.GONE;
  }

  private static boolean contains(Collection<HostIncarnation> hosts, HostId host) {
    return ZoneSummaries.find(hosts, host).isPresent();
  }

  private List<MembershipCommand> reportStates(long nowMillis) {
    List<MembershipCommand> commands = new ArrayList<>();
    records.forEach(
        (host, known) -> {
          MemberState state = state(host, nowMillis);
          if (state != known.reportedState()) {
            known.setReportedState(state);
            commands.add(new MembershipCommand.StateChanged(host, state));
          }
        });
    records
        .entrySet()
        .removeIf(
            entry ->
                entry.getValue().reportedState() == MemberState.GONE
                    && !listed.containsKey(entry.getKey()));
    return commands;
  }
}
