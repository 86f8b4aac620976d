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
 * Makes the decisions of an entry host about requests and engines.
 *
 * <p>The process passes in each {@link HostEvent}, on a single thread and in the order of
 * occurrence, and executes the returned {@link HostCommand}s. Immediately before it writes a
 * request or an order it calls {@link #mayDispatch} or {@link #mayOrder} with a freshly read clock,
 * so that a process that was suspended in between drops the write.
 */
public final class EntryHost {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final HostIncarnation self;
  private final ZoneId zone;
  private final HostParameters parameters;
  private final RandomGenerator random;
  private final long startedAtMillis;
  private final EventTime eventTime;
  private final PauseDetector pauseDetector;
  private final Membership membership;
  private final ZoneOwnership ownership;
  private final Map<EndpointId, FencingSupport> partitions = new TreeMap<>();
  private Optional<HostRoles> roles = Optional.empty();
  private boolean stopping;
  private boolean leasesReleased;
  private boolean releaseReported;

  /**
   * Creates a host without a configuration.
   *
   * @param self the incarnation of this host
   * @param zone its availability zone
   * @param seeds the hosts that the settings name
   * @param parameters the intervals and limits
   * @param random the source of retry jitter
   * @param nowMillis the monotonic time, in milliseconds
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
    this.startedAtMillis = nowMillis;
    this.eventTime = new EventTime(nowMillis);
    this.pauseDetector = new PauseDetector(parameters.maximumTickGapMillis());
    this.membership = new Membership(self, zone, seeds, parameters.membership(), nowMillis);
    this.ownership = new ZoneOwnership(self, parameters.lease(), nowMillis);
  }

  /**
   * Handles an event. Checks both clocks first, so that state that a pause has made stale is
   * discarded before the event is processed.
   *
   * @param event the event
   * @param nowMillis the monotonic time, in milliseconds
   * @param wallMillis the wall clock in milliseconds since 1970, which reveals that the machine was
   *     suspended
   * @return the commands, in order of execution
   */
  public List<HostCommand> handle(HostEvent event, long nowMillis, long wallMillis) {
    eventTime.set(nowMillis);
    List<HostCommand> outgoing = new ArrayList<>();
    Deque<HostCommand> pending = new ArrayDeque<>();
    Optional<ClockJump> jump = pauseDetector.onTick(nowMillis, wallMillis);
    if (jump.isPresent()) {
      pending.addAll(onClockJump(nowMillis));
    }
    pending.addAll(handleEvent(event, nowMillis));
    while (!pending.isEmpty()) {
      HostCommand command = pending.removeFirst();
      if (command instanceof HostCommand.Send send && send.to().equals(self.host())) {
        pending.addAll(onMessage(self.host(), send.message(), nowMillis));
      } else {
        outgoing.add(command);
      }
    }
    releaseIfStopping(nowMillis, outgoing);
    return outgoing;
  }

  /**
   * Returns whether a request may be written to the engine that it was dispatched to.
   *
   * @param request the request
   * @param nowMillis the monotonic time in milliseconds, read immediately before the write
   * @return whether the grant is still valid
   */
  public boolean mayDispatch(RequestId request, long nowMillis) {
    return !hasPaused(nowMillis)
        && roles
            .filter(hostRoles -> hostRoles.running().mayDispatch(request, nowMillis))
            .isPresent();
  }

  /**
   * Returns whether an order may be written to an endpoint.
   *
   * @param endpoint the endpoint
   * @param nowMillis the monotonic time in milliseconds, read immediately before the write
   * @return whether the lease of this host is still valid
   */
  public boolean mayOrder(EndpointId endpoint, long nowMillis) {
    return !hasPaused(nowMillis) && ownership.mayOrder(endpoint, nowMillis);
  }

  /**
   * Returns whether the process was suspended after its last event, which makes its state stale.
   */
  private boolean hasPaused(long nowMillis) {
    return nowMillis - eventTime.nowMillis() > parameters.maximumTickGapMillis();
  }

  /**
   * Sets the booking partitions of this zone. Each partition is owned by one host under a lease,
   * like an endpoint that ignores fencing tokens.
   *
   * @param declared the partitions
   */
  public void declarePartitions(Collection<EndpointId> declared) {
    partitions.clear();
    declared.forEach(partition -> partitions.put(partition, FencingSupport.IGNORED));
  }

  /**
   * Returns the host that should own an endpoint or a partition of this zone.
   *
   * @param endpoint the endpoint
   * @return the candidate, if any
   */
  public Optional<HostId> candidate(EndpointId endpoint) {
    return ownership.candidate(endpoint);
  }

  /**
   * Returns a snapshot of a host from the membership.
   *
   * @param host the host
   * @param nowMillis the monotonic time, in milliseconds
   * @return the member, if the host is known
   */
  public Optional<Member> member(HostId host, long nowMillis) {
    return membership.member(host, nowMillis);
  }

  /**
   * Returns the known hosts of all zones.
   *
   * @return the hosts
   */
  public Set<HostId> knownHosts() {
    return membership.known();
  }

  /**
   * Returns the live hosts of a zone.
   *
   * @param zoneId the zone
   * @param nowMillis the monotonic time, in milliseconds
   * @return the hosts
   */
  public Set<HostId> liveHosts(ZoneId zoneId, long nowMillis) {
    return membership.live(zoneId, nowMillis);
  }

  /**
   * Returns the hosts of a zone that the platform lists, including leaving hosts.
   *
   * @param zoneId the zone
   * @return the hosts
   */
  public Set<HostId> listedHosts(ZoneId zoneId) {
    return membership.listed(zoneId);
  }

  /**
   * Returns the listing of a host, which contains its address.
   *
   * @param host the host
   * @return the listing, if the host is listed
   */
  public Optional<ListedHost> listing(HostId host) {
    return membership.listing(host);
  }

  /**
   * Returns the engines that this host owns.
   *
   * @return the endpoints
   */
  public List<EndpointId> ownedEngines() {
    return roles.map(HostRoles::owned).map(OwnedEngines::all).orElse(List.of()).stream()
        .map(OwnedEngine::endpoint)
        .toList();
  }

  /**
   * Returns this host's view of the engines.
   *
   * @return the view, or empty before the first configuration
   */
  public Optional<FleetView> fleet() {
    return roles.map(HostRoles::fleet);
  }

  /**
   * Returns the number of requests of this host that are running on engines.
   *
   * @return the number of requests
   */
  public int runningRequests() {
    return roles.map(HostRoles::running).map(RunningRequests::count).orElse(0);
  }

  /**
   * Returns the number of requests that wait for an endpoint.
   *
   * @return the number of requests
   */
  public int waitingRequests() {
    return roles.map(HostRoles::gateway).map(GatewayRole::waitingCount).orElse(0);
  }

  private List<HostCommand> handleEvent(HostEvent event, long nowMillis) {
    if (event instanceof HostEvent.Tick) {
      return onTick(nowMillis);
    }
    if (event instanceof HostEvent.MessageReceived message) {
      return onMessage(message.from(), message.message(), nowMillis);
    }
    if (event instanceof HostEvent.HostsListed listed) {
      return onHostsListed(listed.hosts(), nowMillis);
    }
    if (event instanceof HostEvent.Configured configured) {
      return onConfigured(configured.configuration(), nowMillis);
    }
    if (event instanceof HostEvent.EndpointLeaving leaving) {
      return applyMembership(
          membership.onEndpointLeaving(leaving.endpoint(), nowMillis), nowMillis);
    }
    if (event instanceof HostEvent.StopRequested) {
      return onStopRequested(nowMillis);
    }
    if (event instanceof HostEvent.AttemptRequested requested) {
      return onAttemptRequested(requested.request(), nowMillis);
    }
    return roles.map(hostRoles -> handleEvent(hostRoles, event, nowMillis)).orElse(List.of());
  }

  private List<HostCommand> handleEvent(HostRoles hostRoles, HostEvent event, long nowMillis) {
    if (event instanceof HostEvent.AttemptEnded ended) {
      return hostRoles.gateway().onAttemptEnded(ended.request(), ended.result(), nowMillis);
    }
    if (event instanceof HostEvent.RequestFinished finished) {
      return hostRoles.gateway().onRequestFinished(finished.request(), nowMillis);
    }
    if (event instanceof HostEvent.EngineReported reported) {
      return hostRoles.owner().onReport(reported.report(), nowMillis);
    }
    if (event instanceof HostEvent.OrderEnded ended) {
      return onOrderEnded(hostRoles, ended, nowMillis);
    }
    return List.of();
  }

  private List<HostCommand> onAttemptRequested(GatewayRequest request, long nowMillis) {
    if (roles.isEmpty()) {
      return List.of(refusal(request, RefusalReason.NOT_CONFIGURED));
    }
    if (stopping && request.attempt() == 1) {
      return List.of(refusal(request, RefusalReason.STOPPING));
    }
    return roles.get().gateway().onAttemptRequested(request, nowMillis);
  }

  private static HostCommand refusal(GatewayRequest request, RefusalReason reason) {
    return new HostCommand.Refuse(request.id(), reason, RETRY_AFTER_MILLIS);
  }

  private List<HostCommand> onOrderEnded(
      HostRoles hostRoles, HostEvent.OrderEnded ended, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    boolean stepDown = hostRoles.orders().onOrderEnded(ended, nowMillis, commands);
    if (stepDown) {
      commands.addAll(applyOwnership(ownership.stepDown(ended.endpoint(), nowMillis), nowMillis));
    }
    return commands;
  }

  private List<HostCommand> onTick(long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    commands.addAll(applyMembership(membership.onTick(nowMillis), nowMillis));
    commands.addAll(
        applyOwnership(
            ownership.onLiveHosts(membership.live(zone, nowMillis), nowMillis), nowMillis));
    commands.addAll(applyOwnership(ownership.onTick(nowMillis), nowMillis));
    roles.ifPresent(
        hostRoles -> {
          hostRoles.refreshLeaving();
          commands.addAll(hostRoles.owner().onTick(nowMillis));
          commands.addAll(hostRoles.gateway().onTick(nowMillis));
          hostRoles.store().messages(nowMillis).forEach(message -> commands.add(send(message)));
        });
    return commands;
  }

  private List<HostCommand> onClockJump(long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    commands.addAll(applyMembership(membership.onClockJump(nowMillis), nowMillis));
    commands.addAll(applyOwnership(ownership.onClockJump(nowMillis), nowMillis));
    roles.ifPresent(hostRoles -> commands.addAll(hostRoles.gateway().onClockJump(nowMillis)));
    return commands;
  }

  private List<HostCommand> onHostsListed(List<ListedHost> hosts, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    commands.addAll(applyMembership(membership.onHostList(hosts, nowMillis), nowMillis));
    Set<HostId> zoneHosts = membership.listed(zone);
    commands.addAll(applyOwnership(ownership.onHostList(zoneHosts, nowMillis), nowMillis));
    roles.ifPresent(hostRoles -> hostRoles.store().onHostList(List.copyOf(zoneHosts), nowMillis));
    return commands;
  }

  private List<HostCommand> onConfigured(Configuration configuration, long nowMillis) {
    membership.onConfiguration(configuration.version());
    if (roles.isEmpty()) {
      roles =
          Optional.of(
              new HostRoles(
                  self, zone, parameters, membership, ownership, eventTime, configuration, random));
    } else {
      roles.get().configure(configuration);
    }
    Map<EndpointId, FencingSupport> endpoints = new TreeMap<>(partitions);
    configuration.enginesOf(zone).forEach(engine -> endpoints.put(engine.id(), engine.fencing()));
    return applyOwnership(ownership.onEndpoints(endpoints, nowMillis), nowMillis);
  }

  private List<HostCommand> onMessage(HostId from, PeerMessage message, long nowMillis) {
    if (message instanceof LeaseRequest || message instanceof LeaseReply) {
      return applyOwnership(ownership.onMessage(message, nowMillis), nowMillis);
    }
    List<HostCommand> commands = new ArrayList<>();
    commands.addAll(applyMembership(membership.onMessage(from, message, nowMillis), nowMillis));
    roles.ifPresent(
        hostRoles -> commands.addAll(RoleMessages.onMessage(hostRoles, from, message, nowMillis)));
    return commands;
  }

  private List<HostCommand> applyMembership(List<MembershipCommand> decisions, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    for (MembershipCommand command : decisions) {
      if (command instanceof MembershipCommand.Send send) {
        commands.add(new HostCommand.Send(send.to(), send.message()));
      } else if (command instanceof MembershipCommand.StateChanged changed) {
        commands.add(new HostCommand.MemberChanged(changed.host(), changed.state()));
      } else if (command instanceof MembershipCommand.ConfigurationAhead ahead) {
        commands.add(new HostCommand.ConfigurationAhead(ahead.peer(), ahead.version()));
      } else if (command instanceof MembershipCommand.Restarted restarted) {
        ownership.onRestart(restarted.current());
        roles.ifPresent(
            hostRoles -> hostRoles.grantRequests().onRestart(restarted.current(), nowMillis));
      } else if (command instanceof MembershipCommand.EndpointLeaving leaving) {
        commands.addAll(onEndpointLeaving(leaving.endpoint(), nowMillis));
      }
    }
    return commands;
  }

  private List<HostCommand> onEndpointLeaving(EndpointId endpoint, long nowMillis) {
    return roles
        .map(
            hostRoles -> {
              hostRoles.fleet().markLeaving(endpoint, true);
              return hostRoles.owner().onEndpointLeaving(endpoint, nowMillis);
            })
        .orElse(List.of());
  }

  private List<HostCommand> applyOwnership(List<OwnershipCommand> decisions, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    if (roles.isPresent()) {
      return roles.get().owner().applyOwnership(decisions, nowMillis - startedAtMillis, nowMillis);
    }
    for (OwnershipCommand command : decisions) {
      if (command instanceof OwnershipCommand.Send send) {
        commands.add(new HostCommand.Send(send.to(), send.message()));
      }
    }
    return commands;
  }

  private List<HostCommand> onStopRequested(long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    stopping = true;
    commands.addAll(applyMembership(membership.leave(nowMillis), nowMillis));
    roles.ifPresent(
        hostRoles -> {
          hostRoles.owner().stopPlacement();
          commands.addAll(hostRoles.gateway().releaseGrants(nowMillis));
        });
    return commands;
  }

  /**
   * Releases the leases once no order is in flight, and reports the end of the stop once no request
   * is running or waiting either.
   */
  private void releaseIfStopping(long nowMillis, List<HostCommand> commands) {
    if (!stopping || releaseReported) {
      return;
    }
    int orders = roles.map(HostRoles::owned).map(OwnedEngines::ordersInFlight).orElse(0);
    if (!leasesReleased && orders == 0) {
      leasesReleased = true;
      commands.addAll(applyOwnership(ownership.leave(nowMillis), nowMillis));
    }
    if (leasesReleased && runningRequests() == 0 && waitingRequests() == 0) {
      releaseReported = true;
      commands.add(new HostCommand.Released());
    }
  }

  private static HostCommand send(AddressedMessage message) {
    return new HostCommand.Send(message.recipient(), message.message());
  }

  /**
   * Returns the versions that are resident on an engine according to this host's view.
   *
   * @param endpoint the engine
   * @return the versions
   */
  public Set<AdapterVersion> residentVersions(EndpointId endpoint) {
    return fleet()
        .flatMap(view -> view.engine(endpoint))
        .map(engine -> Set.copyOf(engine.resident()))
        .orElse(Set.of());
  }
}
