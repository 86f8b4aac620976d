package org.lentilhinge.host;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.lease.LeaseReply;
import org.lentilhinge.lease.LeaseRequest;
import org.lentilhinge.lease.OwnershipCommand;
import org.lentilhinge.lease.ZoneOwnership;
import org.lentilhinge.membership.ClockJump;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.membership.Member;
import org.lentilhinge.membership.Membership;
import org.lentilhinge.membership.MembershipCommand;
import org.lentilhinge.membership.PauseDetector;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.routing.FleetView;
import org.lentilhinge.store.AddressedMessage;

/**
 * Decides all that an entry host does for requests and engines.
 *
 * <p>The process passes each {@link HostEvent} in, on one thread and in the order in which they
 * happen, and carries out the {@link HostCommand}s that come back. Immediately before it writes a
 * request or an order it asks {@link #mayDispatch} or {@link #mayOrder} with a freshly read clock,
 * so that a process that slept meanwhile drops it.
 */
public final class EntryHost {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final HostIncarnation self;
  private final ZoneId zone;
  private final HostParameters parameters;
  private final RandomGenerator random;
  private final long startedMillis;
  private final EventTime time;
  private final PauseDetector pauses;
  private final Membership membership;
  private final ZoneOwnership ownership;
  private final Map<EndpointId, FencingSupport> partitions = new TreeMap<>();
  private Optional<HostRoles> roles = Optional.empty();
  private boolean stopping;
  private boolean left;
  private boolean released;

  /**
   * Starts a host that knows only what its settings say.
   *
   * @param self this host's life
   * @param zone its availability zone
   * @param seeds the hosts that the settings name
   * @param parameters the intervals
   * @param random spreads retries
   * @param nowMillis the monotonic time
   */
  public EntryHost(
      HostIncarnation self,
      ZoneId zone,
      Collection<ListedHost> seeds,
      HostParameters parameters,
      RandomGenerator random,
      long nowMillis) {
    this.self = self;
    this.zone = zone;
    this.parameters = parameters;
    this.random = random;
    this.startedMillis = nowMillis;
    this.time = new EventTime(nowMillis);
    this.pauses = new PauseDetector(parameters.pauseBoundMillis());
    this.membership = new Membership(self, zone, seeds, parameters.membership(), nowMillis);
    this.ownership = new ZoneOwnership(self, parameters.lease(), nowMillis);
  }

  /**
   * Handles an event. Both clocks are looked at first: after a pause all that the host knew is
   * stale before it does anything else.
   *
   * @param event the event
   * @param nowMillis the monotonic time
   * @param wallMillis the wall clock in milliseconds since 1970, which shows suspended machines
   * @return what to do, in order
   */
  public List<HostCommand> handle(HostEvent event, long nowMillis, long wallMillis) {
    time.set(nowMillis);
    List<HostCommand> outgoing = new ArrayList<>();
    Deque<HostCommand> pending = new ArrayDeque<>();
    Optional<ClockJump> jump = pauses.onTick(nowMillis, wallMillis);
    if (jump.isPresent()) {
      pending.addAll(clockJumped(nowMillis));
    }
    pending.addAll(decide(event, nowMillis));
    while (!pending.isEmpty()) {
      HostCommand command = pending.removeFirst();
      if (command instanceof HostCommand.Send send && send.to().equals(self.host())) {
        pending.addAll(received(self.host(), send.message(), nowMillis));
      } else {
        outgoing.add(command);
      }
    }
    release(nowMillis, outgoing);
    return outgoing;
  }

  /**
   * Tells whether a request may be written to the engine that it was dispatched to.
   *
   * @param request the request
   * @param nowMillis the monotonic time, read immediately before the write
   * @return whether the grant still holds
   */
  public boolean mayDispatch(RequestId request, long nowMillis) {
    return !hasPaused(nowMillis)
        && roles.filter(parts -> parts.running().mayDispatch(request, nowMillis)).isPresent();
  }

  /**
   * Tells whether an order may be written to an endpoint.
   *
   * @param endpoint the endpoint
   * @param nowMillis the monotonic time, read immediately before the write
   * @return whether this host's lease still holds
   */
  public boolean mayOrder(EndpointId endpoint, long nowMillis) {
    return !hasPaused(nowMillis) && ownership.mayOrder(endpoint, nowMillis);
  }

  /** Tells whether the process has slept since its last event, so that what it holds is stale. */
  private boolean hasPaused(long nowMillis) {
    return nowMillis - time.nowMillis() > parameters.pauseBoundMillis();
  }

  /**
   * Declares the booking partitions of this zone, each owned by one host under a lease like an
   * endpoint that ignores fencing numbers.
   *
   * @param declared the partitions
   */
  public void declarePartitions(Collection<EndpointId> declared) {
    partitions.clear();
    declared.forEach(partition -> partitions.put(partition, FencingSupport.IGNORED));
  }

  /**
   * Names the host that should own an endpoint or a partition of this zone.
   *
   * @param endpoint the endpoint
   * @return the candidate
   */
  public Optional<HostId> candidate(EndpointId endpoint) {
    return ownership.candidate(endpoint);
  }

  /**
   * Describes a host.
   *
   * @param host the host
   * @param nowMillis the monotonic time
   * @return what is known of it
   */
  public Optional<Member> member(HostId host, long nowMillis) {
    return membership.member(host, nowMillis);
  }

  /**
   * Lists the hosts of all zones that are known.
   *
   * @return the hosts
   */
  public Set<HostId> knownHosts() {
    return membership.known();
  }

  /**
   * Lists the live hosts of a zone.
   *
   * @param where the zone
   * @param nowMillis the monotonic time
   * @return the hosts
   */
  public Set<HostId> liveHosts(ZoneId where, long nowMillis) {
    return membership.live(where, nowMillis);
  }

  /**
   * Lists the hosts of a zone that the platform names, leaving ones included.
   *
   * @param where the zone
   * @return the hosts
   */
  public Set<HostId> listedHosts(ZoneId where) {
    return membership.listed(where);
  }

  /**
   * Looks up a host's address.
   *
   * @param host the host
   * @return its listing
   */
  public Optional<ListedHost> listing(HostId host) {
    return membership.listing(host);
  }

  /**
   * Lists the engines that this host owns.
   *
   * @return the endpoints
   */
  public List<EndpointId> ownedEngines() {
    return roles.map(HostRoles::owned).map(OwnedEngines::all).orElse(List.of()).stream()
        .map(OwnedEngine::endpoint)
        .toList();
  }

  /**
   * Tells what this host knows of the engines.
   *
   * @return the view, or empty before the first configuration
   */
  public Optional<FleetView> fleet() {
    return roles.map(HostRoles::fleet);
  }

  /**
   * Counts the requests that run on engines for this host.
   *
   * @return the number of requests
   */
  public int runningRequests() {
    return roles.map(HostRoles::running).map(RunningRequests::count).orElse(0);
  }

  /**
   * Counts the requests that wait for an endpoint.
   *
   * @return the number of requests
   */
  public int waitingRequests() {
    return roles.map(HostRoles::gateway).map(GatewayRole::waiting).orElse(0);
  }

  private List<HostCommand> decide(HostEvent event, long nowMillis) {
    if (event instanceof HostEvent.Tick) {
      return tick(nowMillis);
    }
    if (event instanceof HostEvent.MessageReceived message) {
      return received(message.from(), message.message(), nowMillis);
    }
    if (event instanceof HostEvent.HostsListed list) {
      return listed(list.hosts(), nowMillis);
    }
    if (event instanceof HostEvent.Configured configured) {
      return configured(configured.configuration(), nowMillis);
    }
    if (event instanceof HostEvent.EndpointLeaving leaving) {
      return applyMembership(
          membership.onEndpointLeaving(leaving.endpoint(), nowMillis), nowMillis);
    }
    if (event instanceof HostEvent.StopRequested) {
      return stop(nowMillis);
    }
    if (event instanceof HostEvent.AttemptWanted wanted) {
      return wanted(wanted.request(), nowMillis);
    }
    return roles.map(parts -> decide(parts, event, nowMillis)).orElse(List.of());
  }

  private List<HostCommand> decide(HostRoles parts, HostEvent event, long nowMillis) {
    if (event instanceof HostEvent.AttemptEnded ended) {
      return parts.gateway().attemptEnded(ended.request(), ended.ending(), nowMillis);
    }
    if (event instanceof HostEvent.RequestFinished finished) {
      return parts.gateway().finished(finished.request(), nowMillis);
    }
    if (event instanceof HostEvent.EngineReported reported) {
      return parts.owner().reported(reported.report(), nowMillis);
    }
    if (event instanceof HostEvent.OrderEnded ended) {
      return orderEnded(parts, ended, nowMillis);
    }
    return List.of();
  }

  private List<HostCommand> wanted(GatewayRequest request, long nowMillis) {
    if (roles.isEmpty()) {
      return List.of(refusal(request, RefusalReason.NOT_CONFIGURED));
    }
    if (stopping && request.attempt() == 1) {
      return List.of(refusal(request, RefusalReason.STOPPING));
    }
    return roles.get().gateway().wanted(request, nowMillis);
  }

  private static HostCommand refusal(GatewayRequest request, RefusalReason reason) {
    return new HostCommand.Refuse(request.id(), reason, RETRY_AFTER_MILLIS);
  }

  private List<HostCommand> orderEnded(
      HostRoles parts, HostEvent.OrderEnded ended, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    boolean stepDown = parts.orders().ended(ended, nowMillis, commands);
    if (stepDown) {
      commands.addAll(applyOwnership(ownership.stepDown(ended.endpoint(), nowMillis), nowMillis));
    }
    return commands;
  }

  private List<HostCommand> tick(long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    commands.addAll(applyMembership(membership.onTick(nowMillis), nowMillis));
    commands.addAll(
        applyOwnership(ownership.onLive(membership.live(zone, nowMillis), nowMillis), nowMillis));
    commands.addAll(applyOwnership(ownership.onTick(nowMillis), nowMillis));
    roles.ifPresent(
        parts -> {
          parts.refreshLeaving();
          commands.addAll(parts.owner().tick(nowMillis));
          commands.addAll(parts.gateway().tick(nowMillis));
          parts.store().messages(nowMillis).forEach(message -> commands.add(send(message)));
        });
    return commands;
  }

  private List<HostCommand> clockJumped(long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    commands.addAll(applyMembership(membership.onClockJump(nowMillis), nowMillis));
    commands.addAll(applyOwnership(ownership.onClockJump(nowMillis), nowMillis));
    roles.ifPresent(parts -> commands.addAll(parts.gateway().clockJumped(nowMillis)));
    return commands;
  }

  private List<HostCommand> listed(List<ListedHost> hosts, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    commands.addAll(applyMembership(membership.onHostList(hosts, nowMillis), nowMillis));
    Set<HostId> zoneHosts = membership.listed(zone);
    commands.addAll(applyOwnership(ownership.onList(zoneHosts, nowMillis), nowMillis));
    roles.ifPresent(parts -> parts.store().onHostList(List.copyOf(zoneHosts), nowMillis));
    return commands;
  }

  private List<HostCommand> configured(Configuration configuration, long nowMillis) {
    membership.onConfiguration(configuration.version());
    if (roles.isEmpty()) {
      roles =
          Optional.of(
              new HostRoles(
                  self, zone, parameters, membership, ownership, time, configuration, random));
    } else {
      roles.get().configure(configuration);
    }
    Map<EndpointId, FencingSupport> endpoints = new TreeMap<>(partitions);
    configuration.enginesOf(zone).forEach(engine -> endpoints.put(engine.id(), engine.fencing()));
    return applyOwnership(ownership.onEndpoints(endpoints, nowMillis), nowMillis);
  }

  private List<HostCommand> received(HostId from, PeerMessage message, long nowMillis) {
    if (message instanceof LeaseRequest || message instanceof LeaseReply) {
      return applyOwnership(ownership.onMessage(message, nowMillis), nowMillis);
    }
    List<HostCommand> commands = new ArrayList<>();
    commands.addAll(applyMembership(membership.onMessage(from, message, nowMillis), nowMillis));
    roles.ifPresent(
        parts -> commands.addAll(RoleMessages.received(parts, from, message, nowMillis)));
    return commands;
  }

  private List<HostCommand> applyMembership(List<MembershipCommand> decided, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    for (MembershipCommand command : decided) {
      if (command instanceof MembershipCommand.Send send) {
        commands.add(new HostCommand.Send(send.to(), send.message()));
      } else if (command instanceof MembershipCommand.StateChanged changed) {
        commands.add(new HostCommand.MemberChanged(changed.host(), changed.state()));
      } else if (command instanceof MembershipCommand.ConfigurationAhead ahead) {
        commands.add(new HostCommand.ConfigurationAhead(ahead.peer(), ahead.version()));
      } else if (command instanceof MembershipCommand.Restarted restarted) {
        ownership.onRestart(restarted.current());
        roles.ifPresent(parts -> parts.grantRequests().restarted(restarted.current(), nowMillis));
      } else if (command instanceof MembershipCommand.EndpointLeaving leaving) {
        commands.addAll(endpointLeaving(leaving.endpoint(), nowMillis));
      }
    }
    return commands;
  }

  private List<HostCommand> endpointLeaving(EndpointId endpoint, long nowMillis) {
    return roles
        .map(
            parts -> {
              parts.fleet().markLeaving(endpoint, true);
              return parts.owner().leaving(endpoint, nowMillis);
            })
        .orElse(List.of());
  }

  private List<HostCommand> applyOwnership(List<OwnershipCommand> decided, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    if (roles.isPresent()) {
      return roles.get().owner().apply(decided, nowMillis - startedMillis, nowMillis);
    }
    for (OwnershipCommand command : decided) {
      if (command instanceof OwnershipCommand.Send send) {
        commands.add(new HostCommand.Send(send.to(), send.message()));
      }
    }
    return commands;
  }

  private List<HostCommand> stop(long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    stopping = true;
    commands.addAll(applyMembership(membership.leave(nowMillis), nowMillis));
    roles.ifPresent(
        parts -> {
          parts.owner().stop();
          commands.addAll(parts.gateway().leave(nowMillis));
        });
    return commands;
  }

  /** Gives up the leases when no order is under way, and tells when nothing is left. */
  private void release(long nowMillis, List<HostCommand> commands) {
    if (!stopping || released) {
      return;
    }
    int orders = roles.map(HostRoles::owned).map(OwnedEngines::ordersInFlight).orElse(0);
    if (!left && orders == 0) {
      left = true;
      commands.addAll(applyOwnership(ownership.leave(nowMillis), nowMillis));
    }
    if (left && runningRequests() == 0 && waitingRequests() == 0) {
      released = true;
      commands.add(new HostCommand.Released());
    }
  }

  private static HostCommand send(AddressedMessage message) {
    return new HostCommand.Send(message.recipient(), message.message());
  }

  /**
   * Lists the versions that an engine holds as far as this host knows.
   *
   * @param endpoint the engine
   * @return the versions
   */
  public Set<AdapterVersion> resident(EndpointId endpoint) {
    return fleet()
        .flatMap(view -> view.engine(endpoint))
        .map(engine -> Set.copyOf(engine.resident()))
        .orElse(Set.of());
  }
}
