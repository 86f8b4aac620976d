package org.lentilhinge.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * Decides which endpoints of the zone this host owns, and votes as a grantor on the claims of the
 * zone's other hosts.
 *
 * <p>A host calls {@link #onHostList} for each list of the platform, including unchanged lists,
 * {@link #onLiveHosts} and {@link #onEndpoints} on changes, {@link #onMessage} for {@link
 * LeaseRequest} and {@link LeaseReply}, and {@link #onTick} several times per second, and executes
 * the returned commands. Immediately before each order or grant, it reads the clock and checks
 * {@link #mayOrder} or {@link #mayServe}.
 */
public final class ZoneOwnership {

  private final HostIncarnation self;
  private final LeaseSettings settings;
  private final VoterLists lists;
  private final LeaseGrantor grantor;
  private final LeaseHolder holder;
  private final Map<EndpointId, EndpointOwnership> endpointOwnerships = new TreeMap<>();
  private final Map<EndpointId, Long> backoffUntilMillis = new HashMap<>();
  private final Map<EndpointId, Optional<HostId>> candidates = new HashMap<>();
  private Set<HostId> liveHosts;
  private Set<HostId> eligibleHosts;
  private long nextRenewalAtMillis;
  private boolean leaving;

  /**
   * Creates the ownership state of a host that has just started.
   *
   * @param self the incarnation of this host
   * @param settings the intervals
   * @param nowMillis the monotonic time, in milliseconds
   */
  public ZoneOwnership(HostIncarnation self, LeaseSettings settings, long nowMillis) {
    this.self = self;
    this.settings = settings;
    this.lists = new VoterLists(settings.listRetentionMillis());
    this.grantor = new LeaseGrantor(self, settings, lists, nowMillis);
    this.holder = new LeaseHolder(self, settings, lists);
    this.liveHosts = Set.of(self.host());
    this.nextRenewalAtMillis = nowMillis;
  }

  /**
   * Updates the zone's hosts from the platform's list.
   *
   * @param zoneHosts the hosts of this zone, including leaving hosts
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<OwnershipCommand> onHostList(Collection<HostId> zoneHosts, long nowMillis) {
    lists.updateCurrent(zoneHosts, nowMillis);
    eligibleHosts = null;
    return updateLevels(nowMillis);
  }

  /**
   * Updates which hosts of the zone are alive and not leaving.
   *
   * @param hosts the hosts
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<OwnershipCommand> onLiveHosts(Collection<HostId> hosts, long nowMillis) {
    Set<HostId> updated = new HashSet<>(hosts);
    updated.add(self.host());
    if (!updated.equals(liveHosts)) {
      liveHosts = updated;
      eligibleHosts = null;
      nextRenewalAtMillis = Math.min(nextRenewalAtMillis, nowMillis);
    }
    return updateLevels(nowMillis);
  }

  /**
   * Updates the zone's endpoints.
   *
   * @param endpoints the endpoints and whether they check fencing tokens
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<OwnershipCommand> onEndpoints(
      Map<EndpointId, FencingSupport> endpoints, long nowMillis) {
    endpoints.forEach(
        (endpoint, fencing) ->
            endpointOwnerships.computeIfAbsent(endpoint, absent -> new EndpointOwnership(fencing))
                    .fencing =
                fencing);
    List<EndpointId> removed = new ArrayList<>(endpointOwnerships.keySet());
    removed.removeAll(endpoints.keySet());
    removed.forEach(holder::removeClaim);
    List<OwnershipCommand> commands = updateLevels(nowMillis);
    removed.forEach(endpointOwnerships::remove);
    return commands;
  }

  /**
   * Handles a message from a host of the zone.
   *
   * @param message the message
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands; none if the message is not a lease message
   */
  public List<OwnershipCommand> onMessage(PeerMessage message, long nowMillis) {
    List<OwnershipCommand> commands = new ArrayList<>();
    if (message instanceof LeaseRequest request) {
      onRequest(request, nowMillis, commands);
    } else if (message instanceof LeaseReply reply) {
      onReply(reply, nowMillis, commands);
    }
    return commands;
  }

  /**
   * Removes expired votes, updates the levels and sends the renewals that are due.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<OwnershipCommand> onTick(long nowMillis) {
    grantor.removeExpired(nowMillis);
    List<OwnershipCommand> commands = updateLevels(nowMillis);
    if (nowMillis >= nextRenewalAtMillis) {
      sendRequests(nowMillis, commands);
    }
    return commands;
  }

  /**
   * Invalidates all votes, received and cast.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<OwnershipCommand> onClockJump(long nowMillis) {
    holder.onClockJump();
    grantor.onClockJump(nowMillis);
    nextRenewalAtMillis = nowMillis;
    return updateLevels(nowMillis);
  }

  /**
   * Discards the set of endpoints that an earlier incarnation of a host had confirmed.
   *
   * @param current the current incarnation
   */
  public void onRestart(HostIncarnation current) {
    holder.onRestart(current.host());
  }

  /**
   * Releases all endpoints and stops voting. The caller must not have an order in flight.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<OwnershipCommand> leave(long nowMillis) {
    leaving = true;
    eligibleHosts = null;
    grantor.retire();
    List<OwnershipCommand> commands = updateLevels(nowMillis);
    sendRequests(nowMillis, commands);
    return commands;
  }

  /**
   * Releases an endpoint after it has refused this host's fencing token.
   *
   * @param endpoint the endpoint
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<OwnershipCommand> stepDown(EndpointId endpoint, long nowMillis) {
    backoffUntilMillis.put(endpoint, nowMillis + settings.leaseMillis());
    List<OwnershipCommand> commands = updateLevels(nowMillis);
    sendRequests(nowMillis, commands);
    return commands;
  }

  /**
   * Returns whether this host may write an order to an endpoint at this moment.
   *
   * @param endpoint the endpoint
   * @param nowMillis the monotonic time in milliseconds, read immediately before the write
   * @return whether it may
   */
  public boolean mayOrder(EndpointId endpoint, long nowMillis) {
    EndpointOwnership state = endpointOwnerships.get(endpoint);
    return state != null
        && state.level == OwnershipLevel.ORDER
        && nowMillis < holder.orderUntilMillis(endpoint, nowMillis)
        && nowMillis >= state.orderSinceMillis + orderDelayMillis(state.fencing);
  }

  /**
   * Returns whether this host may grant uses of an endpoint's resident versions at this moment.
   *
   * @param endpoint the endpoint
   * @param nowMillis the monotonic time, in milliseconds
   * @return whether it may
   */
  public boolean mayServe(EndpointId endpoint, long nowMillis) {
    EndpointOwnership state = endpointOwnerships.get(endpoint);
    return state != null
        && state.level != OwnershipLevel.NONE
        && computeLevel(endpoint, nowMillis) != OwnershipLevel.NONE
        && nowMillis >= state.serveSinceMillis + settings.maximumOrderTransitMillis();
  }

  /**
   * Returns the level that was last reported for an endpoint.
   *
   * @param endpoint the endpoint
   * @return the level
   */
  public OwnershipLevel level(EndpointId endpoint) {
    return Optional.ofNullable(endpointOwnerships.get(endpoint))
        .map(state -> state.level)
        .orElse(OwnershipLevel.NONE);
  }

  /**
   * Returns the host that should own an endpoint of the zone.
   *
   * @param endpoint the endpoint
   * @return the highest-ranked host that is listed and alive
   */
  public Optional<HostId> candidate(EndpointId endpoint) {
    if (eligibleHosts == null) {
      eligibleHosts = new HashSet<>(liveHosts);
      eligibleHosts.retainAll(lists.currentHosts());
      if (leaving) {
        eligibleHosts.remove(self.host());
      }
      candidates.clear();
    }
    return candidates.computeIfAbsent(
        endpoint, key -> RendezvousHash.first(key.value(), eligibleHosts));
  }

  /**
   * Returns the time until which this host may send orders to an endpoint.
   *
   * @param endpoint the endpoint
   * @param nowMillis the monotonic time, in milliseconds
   * @return the monotonic time in milliseconds, or empty if the host may not send orders
   */
  public Optional<Long> orderUntilMillis(EndpointId endpoint, long nowMillis) {
    long untilMillis = holder.orderUntilMillis(endpoint, nowMillis);
    return untilMillis > nowMillis ? Optional.of(untilMillis) : Optional.empty();
  }

  private void onRequest(LeaseRequest request, long nowMillis, List<OwnershipCommand> commands) {
    grantor
        .onRequest(request, nowMillis)
        .ifPresent(
            outcome -> {
              commands.add(new OwnershipCommand.Send(request.holder().host(), outcome.reply()));
              if (outcome.released().stream().anyMatch(holder.claimedEndpoints()::contains)) {
                sendRequests(nowMillis, commands);
              }
            });
  }

  private void onReply(LeaseReply reply, long nowMillis, List<OwnershipCommand> commands) {
    boolean sendAgain = holder.onReply(reply, nowMillis);
    yieldToHigherRanked(nowMillis);
    if (holder.hasRecentRefusal(nowMillis)) {
      nextRenewalAtMillis =
          Math.min(nextRenewalAtMillis, nowMillis + settings.retryIntervalMillis());
    }
    commands.addAll(updateLevels(nowMillis));
    if (sendAgain) {
      sendRequests(nowMillis, commands);
    }
  }

  /** Sends the requests; the request of this host to itself is handled without a message. */
  private void sendRequests(long nowMillis, List<OwnershipCommand> commands) {
    nextRenewalAtMillis = nowMillis + settings.renewalIntervalMillis();
    Map<HostId, LeaseRequest> requests = holder.requests(nowMillis);
    LeaseRequest own = requests.remove(self.host());
    requests.forEach((to, request) -> commands.add(new OwnershipCommand.Send(to, request)));
    if (own != null) {
      grantor
          .onRequest(own, nowMillis)
          .ifPresent(outcome -> holder.onReply(outcome.reply(), nowMillis));
      commands.addAll(updateLevels(nowMillis));
    }
  }

  /** Updates claims and levels, and returns a command for each changed level. */
  private List<OwnershipCommand> updateLevels(long nowMillis) {
    backoffUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
    List<OwnershipCommand> commands = new ArrayList<>();
    endpointOwnerships.forEach(
        (endpoint, state) -> {
          updateClaim(endpoint, state, nowMillis);
          changeLevel(endpoint, state, computeLevel(endpoint, nowMillis), nowMillis, commands);
        });
    return commands;
  }

  private void updateClaim(EndpointId endpoint, EndpointOwnership state, long nowMillis) {
    boolean candidate = candidate(endpoint).filter(self.host()::equals).isPresent();
    if (leaving || backoffUntilMillis.containsKey(endpoint)) {
      removeClaim(endpoint, nowMillis);
    } else if (candidate) {
      state.notCandidateSinceMillis = Long.MAX_VALUE;
      claim(endpoint, nowMillis);
    } else {
      // Keeps the endpoint for one renewal interval, so that its owner does not change repeatedly
      // when another host alternates between alive and not alive.
      state.notCandidateSinceMillis = Math.min(state.notCandidateSinceMillis, nowMillis);
      boolean persistent =
          nowMillis - state.notCandidateSinceMillis >= settings.renewalIntervalMillis();
      if (persistent || state.level == OwnershipLevel.NONE) {
        removeClaim(endpoint, nowMillis);
      }
    }
  }

  private void claim(EndpointId endpoint, long nowMillis) {
    if (!holder.claimedEndpoints().contains(endpoint)) {
      holder.claim(endpoint);
      nextRenewalAtMillis = nowMillis;
    }
  }

  private void removeClaim(EndpointId endpoint, long nowMillis) {
    if (holder.claimedEndpoints().contains(endpoint)) {
      holder.removeClaim(endpoint);
      nextRenewalAtMillis = nowMillis;
    }
  }

  private void changeLevel(
      EndpointId endpoint,
      EndpointOwnership state,
      OwnershipLevel current,
      long nowMillis,
      List<OwnershipCommand> commands) {
    OwnershipLevel previous = state.level;
    if (previous == current) {
      return;
    }
    if (previous == OwnershipLevel.NONE) {
      state.serveSinceMillis = nowMillis;
    }
    if (current == OwnershipLevel.ORDER) {
      state.orderSinceMillis = nowMillis;
    }
    state.level = current;
    commands.add(new OwnershipCommand.LevelChanged(endpoint, previous, current));
  }

  private OwnershipLevel computeLevel(EndpointId endpoint, long nowMillis) {
    if (nowMillis < holder.orderUntilMillis(endpoint, nowMillis)) {
      return OwnershipLevel.ORDER;
    }
    boolean fresh = lists.ageMillis(nowMillis) <= settings.maximumListAgeMillis();
    if (fresh && nowMillis < holder.serveUntilMillis(endpoint, nowMillis)) {
      return OwnershipLevel.SERVE;
    }
    return OwnershipLevel.NONE;
  }

  /**
   * Backs off from endpoints for which neither this host nor a competitor wins a majority, if the
   * competitor ranks higher. Competitors that have failed are ignored, since the votes for them
   * expire.
   */
  private void yieldToHigherRanked(long nowMillis) {
    for (EndpointId endpoint : List.copyOf(holder.claimedEndpoints())) {
      boolean owner = level(endpoint) == OwnershipLevel.ORDER;
      Set<HostId> competitors =
          owner ? Set.of() : holder.persistentCompetitors(endpoint, nowMillis);
      if (competitors.stream().anyMatch(competitor -> ranksHigher(competitor, endpoint))) {
        backoffUntilMillis.put(endpoint, nowMillis + settings.leaseMillis());
      }
    }
  }

  private boolean ranksHigher(HostId competitor, EndpointId endpoint) {
    return RendezvousHash.comparator(endpoint.value()).compare(competitor, self.host()) < 0;
  }

  private long orderDelayMillis(FencingSupport fencing) {
    return fencing == FencingSupport.IGNORED
        ? settings.leaseMillis() + settings.maximumOrderTransitMillis()
        : 0;
  }

  /** The last reported level of an endpoint, and the times of its changes. */
  private static final class EndpointOwnership {
    private FencingSupport fencing;
    private OwnershipLevel level = OwnershipLevel.NONE;
    private long serveSinceMillis;
    private long orderSinceMillis;
    private long notCandidateSinceMillis = Long.MAX_VALUE;

    EndpointOwnership(FencingSupport fencing) {
      this.fencing = fencing;
    }
  }
}
