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
 * Decides which endpoints of the zone this host owns, and takes part as a grantor in the same
 * decision of the zone's other hosts.
 *
 * <p>A host calls {@link #onList} for each list of the platform, also an unchanged one, {@link
 * #onLive} and {@link #onEndpoints} when these change, {@link #onMessage} for {@link LeaseRequest}
 * and {@link LeaseReply}, {@link #onTick} a few times a second, and carries out the commands that
 * come back. It asks {@link #mayOrder} or {@link #mayServe} with a freshly read clock immediately
 * before each order or grant.
 */
public final class ZoneOwnership {

  private final HostIncarnation self;
  private final LeaseSettings settings;
  private final VoterLists lists;
  private final LeaseGrantor grantor;
  private final LeaseHolder holder;
  private final Map<EndpointId, Tenure> tenures = new TreeMap<>();
  private final Map<EndpointId, Long> backOffUntil = new HashMap<>();
  private final Map<EndpointId, Optional<HostId>> candidates = new HashMap<>();
  private Set<HostId> live;
  private Set<HostId> eligible;
  private long nextRenewalMillis;
  private boolean leaving;

  /**
   * Creates the ownership of a host that has just started.
   *
   * @param self this host's life
   * @param settings the intervals
   * @param nowMillis the monotonic clock
   */
  public ZoneOwnership(HostIncarnation self, LeaseSettings settings, long nowMillis) {
    this.self = self;
    this.settings = settings;
    this.lists = new VoterLists(settings.listMemoryMillis());
    this.grantor = new LeaseGrantor(self, settings, lists, nowMillis);
    this.holder = new LeaseHolder(self, settings, lists);
    this.live = Set.of(self.host());
    this.nextRenewalMillis = nowMillis;
  }

  /**
   * Takes in the zone's hosts as the platform lists them.
   *
   * @param zoneHosts the hosts of this zone, leaving ones included
   * @param nowMillis the monotonic clock
   * @return the commands
   */
  public List<OwnershipCommand> onList(Collection<HostId> zoneHosts, long nowMillis) {
    lists.observe(zoneHosts, nowMillis);
    eligible = null;
    return refresh(nowMillis);
  }

  /**
   * Takes in which hosts of the zone are alive and not leaving.
   *
   * @param hosts the hosts
   * @param nowMillis the monotonic clock
   * @return the commands
   */
  public List<OwnershipCommand> onLive(Collection<HostId> hosts, long nowMillis) {
    Set<HostId> present = new HashSet<>(hosts);
    present.add(self.host());
    if (!present.equals(live)) {
      live = present;
      eligible = null;
      nextRenewalMillis = Math.min(nextRenewalMillis, nowMillis);
    }
    return refresh(nowMillis);
  }

  /**
   * Takes in the zone's endpoints.
   *
   * @param endpoints the endpoints and whether they check fencing numbers
   * @param nowMillis the monotonic clock
   * @return the commands
   */
  public List<OwnershipCommand> onEndpoints(
      Map<EndpointId, FencingSupport> endpoints, long nowMillis) {
    endpoints.forEach(
        (endpoint, fencing) ->
            tenures.computeIfAbsent(endpoint, absent -> new Tenure(fencing)).fencing = fencing);
    List<EndpointId> gone = new ArrayList<>(tenures.keySet());
    gone.removeAll(endpoints.keySet());
    gone.forEach(holder::drop);
    List<OwnershipCommand> commands = refresh(nowMillis);
    gone.forEach(tenures::remove);
    return commands;
  }

  /**
   * Takes in a message of a zone's host.
   *
   * @param message the message
   * @param nowMillis the monotonic clock
   * @return the commands; none for a message of another kind
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
   * Renews what is due.
   *
   * @param nowMillis the monotonic clock
   * @return the commands
   */
  public List<OwnershipCommand> onTick(long nowMillis) {
    grantor.expire(nowMillis);
    List<OwnershipCommand> commands = refresh(nowMillis);
    if (nowMillis >= nextRenewalMillis) {
      renew(nowMillis, commands);
    }
    return commands;
  }

  /**
   * Treats all promises, held and given, as stale.
   *
   * @param nowMillis the monotonic clock
   * @return the commands
   */
  public List<OwnershipCommand> onClockJump(long nowMillis) {
    holder.onClockJump();
    grantor.onClockJump(nowMillis);
    nextRenewalMillis = nowMillis;
    return refresh(nowMillis);
  }

  /**
   * Forgets what was agreed with the earlier life of a host.
   *
   * @param current the present life
   */
  public void onRestart(HostIncarnation current) {
    holder.onRestart(current.host());
  }

  /**
   * Releases all endpoints and promises nothing any more. The caller has no order under way.
   *
   * @param nowMillis the monotonic clock
   * @return the commands
   */
  public List<OwnershipCommand> leave(long nowMillis) {
    leaving = true;
    eligible = null;
    grantor.retire();
    List<OwnershipCommand> commands = refresh(nowMillis);
    renew(nowMillis, commands);
    return commands;
  }

  /**
   * Releases an endpoint after it has refused this host's fencing number.
   *
   * @param endpoint the endpoint
   * @param nowMillis the monotonic clock
   * @return the commands
   */
  public List<OwnershipCommand> stepDown(EndpointId endpoint, long nowMillis) {
    backOffUntil.put(endpoint, nowMillis + settings.leaseMillis());
    List<OwnershipCommand> commands = refresh(nowMillis);
    renew(nowMillis, commands);
    return commands;
  }

  /**
   * Tells whether this host may write an order to an endpoint at this moment.
   *
   * @param endpoint the endpoint
   * @param nowMillis the monotonic clock, read immediately before the write
   * @return whether it may
   */
  public boolean mayOrder(EndpointId endpoint, long nowMillis) {
    Tenure tenure = tenures.get(endpoint);
    return tenure != null
        && tenure.level == OwnershipLevel.ORDER
        && nowMillis < holder.orderUntilMillis(endpoint, nowMillis)
        && nowMillis >= tenure.orderSinceMillis + orderDelayMillis(tenure.fencing);
  }

  /**
   * Tells whether this host may grant uses of an endpoint's resident versions at this moment.
   *
   * @param endpoint the endpoint
   * @param nowMillis the monotonic clock
   * @return whether it may
   */
  public boolean mayServe(EndpointId endpoint, long nowMillis) {
    Tenure tenure = tenures.get(endpoint);
    return tenure != null
        && tenure.level != OwnershipLevel.NONE
        && computed(endpoint, nowMillis) != OwnershipLevel.NONE
        && nowMillis >= tenure.serveSinceMillis + settings.orderFlightMillis();
  }

  /**
   * Returns the level that was last told for an endpoint.
   *
   * @param endpoint the endpoint
   * @return the level
   */
  public OwnershipLevel level(EndpointId endpoint) {
    return Optional.ofNullable(tenures.get(endpoint))
        .map(tenure -> tenure.level)
        .orElse(OwnershipLevel.NONE);
  }

  /**
   * Returns the host that should own an endpoint of the zone.
   *
   * @param endpoint the endpoint
   * @return the candidate among the hosts that are listed and alive
   */
  public Optional<HostId> candidate(EndpointId endpoint) {
    if (eligible == null) {
      eligible = new HashSet<>(live);
      eligible.retainAll(lists.current());
      if (leaving) {
        eligible.remove(self.host());
      }
      candidates.clear();
    }
    return candidates.computeIfAbsent(endpoint, key -> RendezvousHash.first(key.value(), eligible));
  }

  /**
   * Returns until when this host may order for an endpoint.
   *
   * @param endpoint the endpoint
   * @param nowMillis the monotonic clock
   * @return the moment on the monotonic clock, or empty if it may not
   */
  public Optional<Long> orderUntil(EndpointId endpoint, long nowMillis) {
    long untilMillis = holder.orderUntilMillis(endpoint, nowMillis);
    return untilMillis > nowMillis ? Optional.of(untilMillis) : Optional.empty();
  }

  private void onRequest(LeaseRequest request, long nowMillis, List<OwnershipCommand> commands) {
    grantor
        .onRequest(request, nowMillis)
        .ifPresent(
            outcome -> {
              commands.add(new OwnershipCommand.Send(request.holder().host(), outcome.reply()));
              if (outcome.released().stream().anyMatch(holder.wanted()::contains)) {
                renew(nowMillis, commands);
              }
            });
  }

  private void onReply(LeaseReply reply, long nowMillis, List<OwnershipCommand> commands) {
    boolean again = holder.onReply(reply, nowMillis);
    yieldToBetter(nowMillis);
    if (holder.contended(nowMillis)) {
      nextRenewalMillis = Math.min(nextRenewalMillis, nowMillis + settings.retryMillis());
    }
    commands.addAll(refresh(nowMillis));
    if (again) {
      renew(nowMillis, commands);
    }
  }

  /** Sends the requests; answers this host's own without a message. */
  private void renew(long nowMillis, List<OwnershipCommand> commands) {
    nextRenewalMillis = nowMillis + settings.renewMillis();
    Map<HostId, LeaseRequest> requests = holder.requests(nowMillis);
    LeaseRequest own = requests.remove(self.host());
    requests.forEach((to, request) -> commands.add(new OwnershipCommand.Send(to, request)));
    if (own != null) {
      grantor
          .onRequest(own, nowMillis)
          .ifPresent(outcome -> holder.onReply(outcome.reply(), nowMillis));
      commands.addAll(refresh(nowMillis));
    }
  }

  /** Compares what is wanted and held with what was told, and tells the differences. */
  private List<OwnershipCommand> refresh(long nowMillis) {
    backOffUntil.values().removeIf(until -> until <= nowMillis);
    List<OwnershipCommand> commands = new ArrayList<>();
    tenures.forEach(
        (endpoint, tenure) -> {
          chooseWanted(endpoint, tenure, nowMillis);
          tell(endpoint, tenure, computed(endpoint, nowMillis), nowMillis, commands);
        });
    return commands;
  }

  private void chooseWanted(EndpointId endpoint, Tenure tenure, long nowMillis) {
    boolean candidate = candidate(endpoint).filter(self.host()::equals).isPresent();
    if (leaving || backOffUntil.containsKey(endpoint)) {
      drop(endpoint, nowMillis);
    } else if (candidate) {
      tenure.otherSinceMillis = Long.MAX_VALUE;
      want(endpoint, nowMillis);
    } else {
      // Keeps an endpoint for a while, so that a host that flickers does not move it.
      tenure.otherSinceMillis = Math.min(tenure.otherSinceMillis, nowMillis);
      boolean settled = nowMillis - tenure.otherSinceMillis >= settings.renewMillis();
      if (settled || tenure.level == OwnershipLevel.NONE) {
        drop(endpoint, nowMillis);
      }
    }
  }

  private void want(EndpointId endpoint, long nowMillis) {
    if (!holder.wanted().contains(endpoint)) {
      holder.want(endpoint);
      nextRenewalMillis = nowMillis;
    }
  }

  private void drop(EndpointId endpoint, long nowMillis) {
    if (holder.wanted().contains(endpoint)) {
      holder.drop(endpoint);
      nextRenewalMillis = nowMillis;
    }
  }

  private void tell(
      EndpointId endpoint,
      Tenure tenure,
      OwnershipLevel current,
      long nowMillis,
      List<OwnershipCommand> commands) {
    OwnershipLevel previous = tenure.level;
    if (previous == current) {
      return;
    }
    if (previous == OwnershipLevel.NONE) {
      tenure.serveSinceMillis = nowMillis;
    }
    if (current == OwnershipLevel.ORDER) {
      tenure.orderSinceMillis = nowMillis;
    }
    tenure.level = current;
    commands.add(new OwnershipCommand.LevelChanged(endpoint, previous, current));
  }

  private OwnershipLevel computed(EndpointId endpoint, long nowMillis) {
    if (nowMillis < holder.orderUntilMillis(endpoint, nowMillis)) {
      return OwnershipLevel.ORDER;
    }
    boolean fresh = lists.ageMillis(nowMillis) <= settings.listFreshMillis();
    if (fresh && nowMillis < holder.serveUntilMillis(endpoint, nowMillis)) {
      return OwnershipLevel.SERVE;
    }
    return OwnershipLevel.NONE;
  }

  /**
   * Gives way where two candidates hold promises, neither wins, and the other one ranks higher. A
   * rival that died does not count: its promises expire.
   */
  private void yieldToBetter(long nowMillis) {
    for (EndpointId endpoint : List.copyOf(holder.wanted())) {
      boolean owner = level(endpoint) == OwnershipLevel.ORDER;
      Set<HostId> rivals = owner ? Set.of() : holder.lastingRivals(endpoint, nowMillis);
      if (rivals.stream().anyMatch(rival -> better(rival, endpoint))) {
        backOffUntil.put(endpoint, nowMillis + settings.leaseMillis());
      }
    }
  }

  private boolean better(HostId rival, EndpointId endpoint) {
    return RendezvousHash.order(endpoint.value()).compare(rival, self.host()) < 0;
  }

  private long orderDelayMillis(FencingSupport fencing) {
    return fencing == FencingSupport.IGNORED
        ? settings.leaseMillis() + settings.orderFlightMillis()
        : 0;
  }

  /** What was last told for one endpoint. */
  private static final class Tenure {
    private FencingSupport fencing;
    private OwnershipLevel level = OwnershipLevel.NONE;
    private long serveSinceMillis;
    private long orderSinceMillis;
    private long otherSinceMillis = Long.MAX_VALUE;

    Tenure(FencingSupport fencing) {
      this.fencing = fencing;
    }
  }
}
