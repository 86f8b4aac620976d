package org.lentilhinge.grant;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.lease.FencingRefusalAction;
import org.lentilhinge.lease.FencingSequence;
import org.lentilhinge.lease.LeaseSettings;
import org.lentilhinge.lease.OwnershipCommand;
import org.lentilhinge.lease.OwnershipLevel;
import org.lentilhinge.lease.ZoneOwnership;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.membership.Membership;
import org.lentilhinge.membership.MembershipCommand;
import org.lentilhinge.membership.MembershipSettings;
import org.lentilhinge.membership.PauseDetector;
import org.lentilhinge.message.PeerMessage;

/** Combines the state machines of one incarnation of an entry host, as the real host does. */
final class VirtualHost {

  static final ZoneId ZONE = new ZoneId("zone");
  static final long MAXIMUM_REQUEST_MILLIS = 4_000;
  static final GrantSettings GRANT_SETTINGS =
      new GrantSettings(6_000, 500, 2_000, 5_000, 3_000, MAXIMUM_REQUEST_MILLIS);
  private static final long ANNOUNCE_INTERVAL_MILLIS = 2_000;
  private static final long PAUSE_DETECTION_MILLIS = 2_000;

  final HostIncarnation self;
  final Membership membership;
  final ZoneOwnership ownership;
  final GrantCache cache;
  long pausedUntilMillis;
  boolean alive = true;
  boolean leaving;
  boolean suspended;
  private final VirtualNetwork network;
  private final long startedAtMillis;
  private final double clockRate;
  private long suspendedMillis;
  private final PauseDetector detector = new PauseDetector(PAUSE_DETECTION_MILLIS);
  private final FencingSequence fencing;
  private final Map<EndpointId, OwnedEndpoint> ownedEndpoints = new TreeMap<>();
  private long sequence;

  VirtualHost(
      VirtualNetwork network, HostIncarnation self, double clockRate, long startedAtMillis) {
    this.network = network;
    this.self = self;
    this.clockRate = clockRate;
    this.startedAtMillis = startedAtMillis;
    this.fencing = new FencingSequence(self.host());
    long now = now();
    this.membership = new Membership(self, ZONE, List.of(), MembershipSettings.defaults(), now);
    this.ownership = new ZoneOwnership(self, LeaseSettings.defaults(), now);
    this.cache = new GrantCache(self, GRANT_SETTINGS, now);
    executeOwnershipCommands(ownership.onEndpoints(network.fencingByEndpoint(), now));
  }

  /** Returns the time on the monotonic clock of this host. */
  long now() {
    long elapsed = network.nowMillis() - startedAtMillis - suspendedMillis;
    return 1_000_000 + Math.round(elapsed * clockRate);
  }

  /** Stops this host and its monotonic clock for the given time. */
  void suspend(long millis) {
    suspended = true;
    suspendedMillis += millis;
    pausedUntilMillis = network.nowMillis() + millis;
  }

  void onHostList(Collection<HostId> hosts) {
    List<ListedHost> listed =
        hosts.stream().map(host -> new ListedHost(host, ZONE, "", false)).toList();
    executeMembershipCommands(membership.onHostList(listed, now()));
    executeOwnershipCommands(ownership.onHostList(hosts, now()));
  }

  void onMessage(HostId from, PeerMessage message) {
    long now = now();
    executeMembershipCommands(membership.onMessage(from, message, now));
    executeOwnershipCommands(ownership.onMessage(message, now));
    executeGrantCommands(cache.onMessage(message, now));
    if (message instanceof GrantRequest request) {
      onGrantRequest(from, request, now);
    } else if (message instanceof GrantRelease release) {
      release
          .released()
          .forEach(
              versions ->
                  ledger(versions.endpoint())
                      .ifPresent(
                          ledger ->
                              ledger.onRelease(
                                  release.gateway(), release.sequence(), versions.versions())));
    } else if (message instanceof GrantRegistration registration) {
      ownedEndpoints.values().forEach(state -> state.ledger.onRegistration(registration, now));
    }
  }

  void onTick() {
    long now = now();
    executeMembershipCommands(membership.onTick(now));
    executeOwnershipCommands(ownership.onLiveHosts(membership.live(ZONE, now), now));
    executeOwnershipCommands(ownership.onTick(now));
    executeGrantCommands(cache.onTick(now));
    ownedEndpoints.forEach((endpoint, state) -> onTick(endpoint, state, now));
  }

  void leave() {
    leaving = true;
    executeMembershipCommands(membership.leave(now()));
    executeOwnershipCommands(ownership.leave(now()));
  }

  void endpointLeaves(EndpointId endpoint) {
    executeMembershipCommands(membership.onEndpointLeaving(endpoint, now()));
  }

  /** Returns whether this host could order the eviction of a version now. */
  boolean mayEvict(EndpointId endpoint, AdapterVersion version) {
    return ownership.mayOrder(endpoint, now())
        && ledger(endpoint).filter(ledger -> ledger.mayEvict(version, now())).isPresent();
  }

  /** Handles a request of a caller. */
  void request(EndpointId endpoint, AdapterVersion version) {
    long now = now();
    HostId owner = ownership.candidate(endpoint).orElse(self.host());
    RequestId request = new RequestId(self, ++sequence);
    executeGrantCommands(cache.acquire(request, endpoint, version, owner, now));
  }

  /** Decides on an order now and writes it after a short delay. */
  void order(EndpointId endpoint, boolean load, AdapterVersion version) {
    OwnedEndpoint state = ownedEndpoints.get(endpoint);
    network.runLater(this, () -> write(endpoint, state, load, version));
  }

  /** Detects whether this host was stopped; called before every other action. */
  void detectPause() {
    long now = now();
    detector
        .onTick(now, network.nowMillis())
        .ifPresent(
            jump -> {
              executeMembershipCommands(membership.onClockJump(now));
              executeOwnershipCommands(ownership.onClockJump(now));
              executeGrantCommands(cache.onClockJump(now));
            });
  }

  private void onTick(EndpointId endpoint, OwnedEndpoint state, long now) {
    state.ledger.onTick(now);
    if (!state.residentRequested && ownership.mayServe(endpoint, now)) {
      state.residentRequested = true;
      network.read(this, endpoint, engine -> onRead(endpoint, state, engine));
    }
    boolean recovering = state.ledger.isRecovering(now);
    if (recovering && now >= state.nextAnnounceAtMillis) {
      announce(endpoint, state, now);
    }
  }

  private void onRead(EndpointId endpoint, OwnedEndpoint state, VirtualEngine engine) {
    engine.highestToken.ifPresent(highest -> fencing.onReported(endpoint, highest));
    state.resident = Optional.of(new HashSet<>(engine.resident));
  }

  private void announce(EndpointId endpoint, OwnedEndpoint state, long now) {
    state.nextAnnounceAtMillis = now + ANNOUNCE_INTERVAL_MILLIS;
    PeerMessage message = new OwnerAnnouncement(self, List.of(endpoint));
    membership.known().forEach(host -> network.send(this, host, message));
  }

  private void write(
      EndpointId endpoint, OwnedEndpoint state, boolean load, AdapterVersion version) {
    long now = now();
    boolean safe = load || state.ledger.mayEvict(version, now);
    if (ownedEndpoints.get(endpoint) != state || !safe || !ownership.mayOrder(endpoint, now)) {
      state.ledger.endEviction(version);
      state.ordering = false;
      network.droppedOrders++;
      return;
    }
    FencingToken token = fencing.token(endpoint);
    network.order(
        this,
        endpoint,
        load,
        version,
        token,
        (engine, accepted) -> {
          state.ordering = false;
          onOrdered(endpoint, state, load, version, token, engine, accepted);
        });
  }

  private void onOrdered(
      EndpointId endpoint,
      OwnedEndpoint state,
      boolean load,
      AdapterVersion version,
      FencingToken token,
      VirtualEngine engine,
      boolean accepted) {
    if (accepted) {
      fencing.onAccepted(endpoint, token);
      state.resident.ifPresent(
          resident -> {
            if (load) {
              resident.add(version);
            } else {
              resident.remove(version);
            }
          });
    } else if (fencing.onRefused(endpoint, token, engine.highestToken.orElseThrow())
        == FencingRefusalAction.STEP_DOWN) {
      executeOwnershipCommands(ownership.stepDown(endpoint, now()));
    }
    state.ledger.endEviction(version);
  }

  private void onGrantRequest(HostId from, GrantRequest request, long now) {
    List<GrantAnswer> answers = new ArrayList<>();
    for (EndpointDemand endpointDemand : request.endpointDemands()) {
      for (GrantDemand demand : endpointDemand.demands()) {
        answers.add(answerDemand(request, endpointDemand.endpoint(), demand.version(), now));
      }
    }
    network.send(this, from, new GrantReply(self, request.sequence(), answers));
  }

  private GrantAnswer answerDemand(
      GrantRequest request, EndpointId endpoint, AdapterVersion version, long now) {
    OwnedEndpoint state = ownedEndpoints.get(endpoint);
    if (state == null || !ownership.mayServe(endpoint, now) || state.resident.isEmpty()) {
      Optional<HostId> owner = ownership.candidate(endpoint);
      return GrantAnswer.notOwner(endpoint, version, owner);
    }
    if (state.resident.get().contains(version)) {
      OptionalLong granted =
          state.ledger.grant(request.gateway(), request.sequence(), version, now);
      if (granted.isPresent()) {
        return GrantAnswer.granted(endpoint, version, granted.getAsLong());
      }
    } else {
      makeResident(endpoint, state, version, now);
    }
    return GrantAnswer.refused(endpoint, version, GrantOutcome.NO_SLOT, 500);
  }

  private void makeResident(
      EndpointId endpoint, OwnedEndpoint state, AdapterVersion version, long now) {
    if (state.ordering || !ownership.mayOrder(endpoint, now)) {
      return;
    }
    Set<AdapterVersion> resident = state.resident.orElseThrow();
    if (resident.size() < VirtualEngine.SLOTS) {
      state.ordering = true;
      order(endpoint, true, version);
      return;
    }
    Optional<AdapterVersion> evictable =
        resident.stream()
            .sorted()
            .filter(candidate -> state.ledger.beginEviction(candidate, now))
            .findFirst();
    state.ordering = evictable.isPresent();
    evictable.ifPresent(evicted -> order(endpoint, false, evicted));
    if (evictable.isEmpty()) {
      resident.forEach(pinned -> recall(endpoint, state, pinned));
    }
  }

  private void recall(EndpointId endpoint, OwnedEndpoint state, AdapterVersion version) {
    PeerMessage message = new GrantRecall(self.host(), endpoint, version);
    state.ledger.pinningGateways(version).forEach(host -> network.send(this, host, message));
  }

  private Optional<GrantLedger> ledger(EndpointId endpoint) {
    return Optional.ofNullable(ownedEndpoints.get(endpoint)).map(state -> state.ledger);
  }

  private void executeMembershipCommands(List<MembershipCommand> commands) {
    for (MembershipCommand command : commands) {
      if (command instanceof MembershipCommand.Send send) {
        network.send(this, send.to(), send.message());
      } else if (command instanceof MembershipCommand.Restarted restarted) {
        ownership.onRestart(restarted.current());
        ownedEndpoints
            .values()
            .forEach(state -> state.ledger.onRestart(restarted.current(), now()));
      } else if (command instanceof MembershipCommand.StateChanged) {
        executeOwnershipCommands(ownership.onLiveHosts(membership.live(ZONE, now()), now()));
      }
    }
  }

  private void executeOwnershipCommands(List<OwnershipCommand> commands) {
    for (OwnershipCommand command : commands) {
      if (command instanceof OwnershipCommand.Send send) {
        network.send(this, send.to(), send.message());
      } else if (command instanceof OwnershipCommand.LevelChanged changed) {
        onLevelChanged(changed);
      }
    }
  }

  private void onLevelChanged(OwnershipCommand.LevelChanged changed) {
    if (changed.current() == OwnershipLevel.NONE) {
      ownedEndpoints.remove(changed.endpoint());
      return;
    }
    OwnedEndpoint state =
        ownedEndpoints.computeIfAbsent(
            changed.endpoint(),
            endpoint -> new OwnedEndpoint(new GrantLedger(endpoint, GRANT_SETTINGS)));
    if (changed.current() == OwnershipLevel.ORDER) {
      fencing.beginTerm(changed.endpoint());
      long uptimeMillis = now() - 1_000_000;
      state.ledger.beginRecovery(membership.known(), uptimeMillis, now());
    }
    announce(changed.endpoint(), state, now());
  }

  private void executeGrantCommands(List<GrantCommand> commands) {
    for (GrantCommand command : commands) {
      if (command instanceof GrantCommand.Send send) {
        network.send(this, send.to(), send.message());
      } else if (command instanceof GrantCommand.Ready ready) {
        network.runLater(this, () -> dispatch(ready.endpoint(), ready.version()));
      } else if (command instanceof GrantCommand.Refused) {
        network.refusedRequests++;
      }
    }
  }

  private void dispatch(EndpointId endpoint, AdapterVersion version) {
    if (cache.mayDispatch(endpoint, version, now())) {
      network.dispatch(this, endpoint, version, () -> cache.finish(endpoint, version, now()));
    } else {
      cache.finish(endpoint, version, now());
    }
  }

  /** The state of one endpoint that this host owns. */
  private static final class OwnedEndpoint {
    private final GrantLedger ledger;
    private Optional<Set<AdapterVersion>> resident = Optional.empty();
    private boolean residentRequested;
    private boolean ordering;
    private long nextAnnounceAtMillis;

    OwnedEndpoint(GrantLedger ledger) {
      this.ledger = ledger;
    }
  }
}
