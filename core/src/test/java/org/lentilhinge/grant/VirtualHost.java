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
import org.lentilhinge.identity.FencingNumber;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.lease.FencingSequence;
import org.lentilhinge.lease.FencingVerdict;
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
  static final GrantSettings GRANTS =
      new GrantSettings(6_000, 500, 2_000, 5_000, 3_000, MAXIMUM_REQUEST_MILLIS);
  private static final long ANNOUNCE_MILLIS = 2_000;
  private static final long PAUSE_MILLIS = 2_000;

  final HostIncarnation self;
  final Membership membership;
  final ZoneOwnership ownership;
  final GrantCache cache;
  long pausedUntilMillis;
  boolean alive = true;
  boolean leaving;
  boolean suspended;
  private final VirtualNetwork network;
  private final long startedMillis;
  private final double rate;
  private long stoodStillMillis;
  private final PauseDetector detector = new PauseDetector(PAUSE_MILLIS);
  private final FencingSequence fencing;
  private final Map<EndpointId, Tenure> tenures = new TreeMap<>();
  private long sequence;

  VirtualHost(
      VirtualNetwork network, HostIncarnation self, double clockRate, long startedAtMillis) {
    this.network = network;
    this.self = self;
    this.rate = clockRate;
    this.startedMillis = startedAtMillis;
    this.fencing = new FencingSequence(self.host());
    long now = now();
    this.membership = new Membership(self, ZONE, List.of(), MembershipSettings.defaults(), now);
    this.ownership = new ZoneOwnership(self, LeaseSettings.defaults(), now);
    this.cache = new GrantCache(self, GRANTS, now);
    carryOut(ownership.onEndpoints(network.traits(), now));
  }

  /** Returns the time on the monotonic clock of this host. */
  long now() {
    long elapsed = network.nowMillis() - startedMillis - stoodStillMillis;
    return 1_000_000 + Math.round(elapsed * rate);
  }

  /** Stops this host and its monotonic clock for the given time. */
  void suspend(long millis) {
    suspended = true;
    stoodStillMillis += millis;
    pausedUntilMillis = network.nowMillis() + millis;
  }

  void onList(Collection<HostId> hosts) {
    List<ListedHost> listed =
        hosts.stream().map(host -> new ListedHost(host, ZONE, "", false)).toList();
    membership(membership.onList(listed, now()));
    carryOut(ownership.onList(hosts, now()));
  }

  void onMessage(HostId from, PeerMessage message) {
    long now = now();
    membership(membership.onMessage(from, message, now));
    carryOut(ownership.onMessage(message, now));
    grants(cache.onMessage(message, now));
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
      tenures.values().forEach(state -> state.ledger.onRegistration(registration, now));
    }
  }

  void onTick() {
    long now = now();
    membership(membership.onTick(now));
    carryOut(ownership.onLive(membership.live(ZONE, now), now));
    carryOut(ownership.onTick(now));
    grants(cache.onTick(now));
    tenures.forEach((endpoint, state) -> onTick(endpoint, state, now));
  }

  void leave() {
    leaving = true;
    membership(membership.leave(now()));
    carryOut(ownership.leave(now()));
  }

  void endpointLeaves(EndpointId endpoint) {
    membership(membership.onEndpointLeaving(endpoint, now()));
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
    grants(cache.acquire(request, endpoint, version, owner, now));
  }

  /** Decides on an order now and writes it after a short delay. */
  void order(EndpointId endpoint, boolean load, AdapterVersion version) {
    Tenure state = tenures.get(endpoint);
    network.later(this, () -> write(endpoint, state, load, version));
  }

  /** Detects whether this host was stopped; called before every other action. */
  void detectPause() {
    long now = now();
    detector
        .onTick(now, network.nowMillis())
        .ifPresent(
            jump -> {
              membership(membership.onClockJump(now));
              carryOut(ownership.onClockJump(now));
              grants(cache.onClockJump(now));
            });
  }

  private void onTick(EndpointId endpoint, Tenure state, long now) {
    state.ledger.onTick(now);
    if (!state.asked && ownership.mayServe(endpoint, now)) {
      state.asked = true;
      network.read(this, endpoint, engine -> onRead(endpoint, state, engine));
    }
    boolean recovering = state.ledger.recovering(now);
    if (recovering && now >= state.announceMillis) {
      announce(endpoint, state, now);
    }
  }

  private void onRead(EndpointId endpoint, Tenure state, VirtualEngine engine) {
    engine.highest.ifPresent(highest -> fencing.onReported(endpoint, highest));
    state.resident = Optional.of(new HashSet<>(engine.resident));
  }

  private void announce(EndpointId endpoint, Tenure state, long now) {
    state.announceMillis = now + ANNOUNCE_MILLIS;
    PeerMessage message = new OwnerAnnouncement(self, List.of(endpoint));
    membership.known().forEach(host -> network.send(this, host, message));
  }

  private void write(EndpointId endpoint, Tenure state, boolean load, AdapterVersion version) {
    long now = now();
    boolean safe = load || state.ledger.mayEvict(version, now);
    if (tenures.get(endpoint) != state || !safe || !ownership.mayOrder(endpoint, now)) {
      state.ledger.endEviction(version);
      state.ordering = false;
      network.droppedOrders++;
      return;
    }
    FencingNumber token = fencing.number(endpoint);
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
      Tenure state,
      boolean load,
      AdapterVersion version,
      FencingNumber token,
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
    } else if (fencing.onRefused(endpoint, token, engine.highest.orElseThrow())
        == FencingVerdict.STEP_DOWN) {
      carryOut(ownership.stepDown(endpoint, now()));
    }
    state.ledger.endEviction(version);
  }

  private void onGrantRequest(HostId from, GrantRequest request, long now) {
    List<GrantAnswer> answers = new ArrayList<>();
    for (EndpointDemand wanted : request.wanted()) {
      for (GrantDemand demand : wanted.demands()) {
        answers.add(answer(request, wanted.endpoint(), demand.version(), now));
      }
    }
    network.send(this, from, new GrantReply(self, request.sequence(), answers));
  }

  private GrantAnswer answer(
      GrantRequest request, EndpointId endpoint, AdapterVersion version, long now) {
    Tenure state = tenures.get(endpoint);
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

  private void makeResident(EndpointId endpoint, Tenure state, AdapterVersion version, long now) {
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

  private void recall(EndpointId endpoint, Tenure state, AdapterVersion version) {
    PeerMessage message = new GrantRecall(self.host(), endpoint, version);
    state.ledger.holders(version).forEach(host -> network.send(this, host, message));
  }

  private Optional<GrantLedger> ledger(EndpointId endpoint) {
    return Optional.ofNullable(tenures.get(endpoint)).map(state -> state.ledger);
  }

  private void membership(List<MembershipCommand> commands) {
    for (MembershipCommand command : commands) {
      if (command instanceof MembershipCommand.Send send) {
        network.send(this, send.to(), send.message());
      } else if (command instanceof MembershipCommand.Restarted restarted) {
        ownership.onRestart(restarted.current());
        tenures.values().forEach(state -> state.ledger.onRestart(restarted.current(), now()));
      } else if (command instanceof MembershipCommand.StateChanged) {
        carryOut(ownership.onLive(membership.live(ZONE, now()), now()));
      }
    }
  }

  private void carryOut(List<OwnershipCommand> commands) {
    for (OwnershipCommand command : commands) {
      if (command instanceof OwnershipCommand.Send send) {
        network.send(this, send.to(), send.message());
      } else if (command instanceof OwnershipCommand.LevelChanged changed) {
        onLevel(changed);
      }
    }
  }

  private void onLevel(OwnershipCommand.LevelChanged changed) {
    if (changed.current() == OwnershipLevel.NONE) {
      tenures.remove(changed.endpoint());
      return;
    }
    Tenure state =
        tenures.computeIfAbsent(
            changed.endpoint(), endpoint -> new Tenure(new GrantLedger(endpoint, GRANTS)));
    if (changed.current() == OwnershipLevel.ORDER) {
      fencing.begin(changed.endpoint());
      long uptime = now() - 1_000_000;
      state.ledger.recover(membership.known(), uptime, now());
    }
    announce(changed.endpoint(), state, now());
  }

  private void grants(List<GrantCommand> commands) {
    for (GrantCommand command : commands) {
      if (command instanceof GrantCommand.Send send) {
        network.send(this, send.to(), send.message());
      } else if (command instanceof GrantCommand.Ready ready) {
        network.later(this, () -> dispatch(ready.endpoint(), ready.version()));
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
  private static final class Tenure {
    private final GrantLedger ledger;
    private Optional<Set<AdapterVersion>> resident = Optional.empty();
    private boolean asked;
    private boolean ordering;
    private long announceMillis;

    Tenure(GrantLedger ledger) {
      this.ledger = ledger;
    }
  }
}
