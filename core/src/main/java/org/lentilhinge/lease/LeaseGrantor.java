package org.lentilhinge.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostIncarnation;

/**
 * Votes for the holders of endpoint leases. After a vote this host does not vote for another holder
 * of the same endpoint until the vote has expired on this host's monotonic clock or the holder has
 * released the endpoint.
 *
 * <p>Votes are not persisted. A grantor that has just started, or whose clock has jumped, may have
 * lost a vote, so it does not vote for the duration of one lease; any lost vote has expired by
 * then.
 */
public final class LeaseGrantor {

  private final HostIncarnation self;
  private final LeaseSettings settings;
  private final VoterLists lists;
  private final Map<EndpointId, Vote> votes = new HashMap<>();
  private final Map<HostIncarnation, HolderState> holders = new HashMap<>();
  private long quarantineUntilMillis;
  private boolean retired;

  LeaseGrantor(HostIncarnation self, LeaseSettings settings, VoterLists lists, long nowMillis) {
    this.self = self;
    this.settings = settings;
    this.lists = lists;
    this.quarantineUntilMillis = nowMillis + settings.leaseMillis();
  }

  /** Stops voting for the duration of one lease, after which every earlier vote has expired. */
  void onClockJump(long nowMillis) {
    quarantineUntilMillis = nowMillis + settings.leaseMillis();
  }

  /** Stops voting permanently. */
  void retire() {
    retired = true;
  }

  /**
   * Handles a lease request.
   *
   * @param request the request
   * @param nowMillis the monotonic time, in milliseconds
   * @return the outcome, or empty if a request of the holder with the same or a higher number has
   *     already arrived
   */
  Optional<Outcome> onRequest(LeaseRequest request, long nowMillis) {
    HolderState known = holders.getOrDefault(request.holder(), HolderState.UNKNOWN);
    if (request.sequence() <= known.sequence()) {
      return Optional.empty();
    }
    long acknowledgedAtMillis = acknowledgedAtMillis(known, request, nowMillis);
    boolean sameSet = known.digest() == request.endpointsDigest() && known != HolderState.UNKNOWN;
    if (!request.full() && !sameSet) {
      updateHolder(request, known.endpoints(), known.digest(), nowMillis, acknowledgedAtMillis);
      return Optional.of(outcomeWithoutRelease(request, LeaseStatus.SET_UNKNOWN));
    }
    Set<EndpointId> requested =
        request.full() ? Set.copyOf(request.endpoints()) : known.endpoints();
    updateHolder(request, requested, request.endpointsDigest(), nowMillis, acknowledgedAtMillis);
    List<EndpointId> released =
        request.full() ? releaseUnrequested(request.holder(), requested) : List.of();
    boolean unacknowledged = nowMillis - acknowledgedAtMillis > settings.leaseMillis();
    LeaseReply reply =
        unacknowledged
            ? reply(request, LeaseStatus.UNHEARD, List.of(), List.of())
            : decide(request, requested, nowMillis);
    return Optional.of(new Outcome(reply, released));
  }

  /** Returns the holder of the valid vote for an endpoint, if there is one. */
  Optional<HostIncarnation> votedFor(EndpointId endpoint, long nowMillis) {
    return Optional.ofNullable(votes.get(endpoint))
        .filter(vote -> vote.expiresAtMillis() > nowMillis)
        .map(Vote::holder);
  }

  /** Removes expired votes and holders whose last request is older than the list retention. */
  void removeExpired(long nowMillis) {
    votes.values().removeIf(vote -> vote.expiresAtMillis() <= nowMillis);
    holders
        .values()
        .removeIf(
            holder -> holder.lastRequestAtMillis() + settings.listRetentionMillis() < nowMillis);
  }

  private LeaseReply decide(LeaseRequest request, Set<EndpointId> requested, long nowMillis) {
    if (nowMillis < quarantineUntilMillis) {
      return reply(request, LeaseStatus.QUARANTINED, List.of(), List.of());
    }
    if (retired) {
      List<LeaseRefusal> refusals = refusals(request.holder(), requested, nowMillis);
      return reply(request, LeaseStatus.RETIRED, refusals, List.of());
    }
    if (!lists.areAllIn(request.listDigests(), nowMillis)) {
      return reply(request, LeaseStatus.LISTS_DIFFER, List.of(), lists.toVoterLists(nowMillis));
    }
    List<LeaseRefusal> refusals = refusals(request.holder(), requested, nowMillis);
    Set<EndpointId> granted = new TreeSet<>(requested);
    refusals.forEach(refusal -> granted.remove(refusal.endpoint()));
    long untilMillis = nowMillis + settings.leaseMillis();
    granted.forEach(endpoint -> votes.put(endpoint, new Vote(request.holder(), untilMillis)));
    return reply(request, LeaseStatus.GRANTED, refusals, List.of());
  }

  private List<LeaseRefusal> refusals(
      HostIncarnation holder, Set<EndpointId> requested, long nowMillis) {
    List<LeaseRefusal> refusals = new ArrayList<>();
    for (EndpointId endpoint : requested) {
      votedFor(endpoint, nowMillis)
          .filter(votedFor -> !votedFor.equals(holder))
          .ifPresent(other -> refusals.add(new LeaseRefusal(endpoint, other.host())));
    }
    return refusals;
  }

  private List<EndpointId> releaseUnrequested(HostIncarnation holder, Set<EndpointId> requested) {
    List<EndpointId> released = new ArrayList<>();
    votes.forEach(
        (endpoint, vote) -> {
          if (vote.holder().equals(holder) && !requested.contains(endpoint)) {
            released.add(endpoint);
          }
        });
    released.forEach(votes::remove);
    return released;
  }

  private void updateHolder(
      LeaseRequest request,
      Set<EndpointId> endpoints,
      long digest,
      long nowMillis,
      long acknowledgedAtMillis) {
    holders.put(
        request.holder(),
        new HolderState(
            request.sequence(),
            digest,
            endpoints,
            nowMillis,
            request.acknowledgedSequence(),
            acknowledgedAtMillis));
  }

  /** Returns the time at which the holder last acknowledged a new reply of this host. */
  private static long acknowledgedAtMillis(
      HolderState known, LeaseRequest request, long nowMillis) {
    boolean first = known == HolderState.UNKNOWN;
    boolean acknowledgesNewReply = request.acknowledgedSequence() > known.acknowledgedSequence();
    return first || acknowledgesNewReply ? nowMillis : known.acknowledgedAtMillis();
  }

  private Outcome outcomeWithoutRelease(LeaseRequest request, LeaseStatus status) {
    return new Outcome(reply(request, status, List.of(), List.of()), List.of());
  }

  private LeaseReply reply(
      LeaseRequest request,
      LeaseStatus status,
      List<LeaseRefusal> refusals,
      List<VoterList> activeLists) {
    return new LeaseReply(self, request.sequence(), status, refusals, activeLists);
  }

  /**
   * The outcome of a request.
   *
   * @param reply the reply to send
   * @param released the endpoints that the request released
   */
  record Outcome(LeaseReply reply, List<EndpointId> released) {}

  private record Vote(HostIncarnation holder, long expiresAtMillis) {}

  private record HolderState(
      long sequence,
      long digest,
      Set<EndpointId> endpoints,
      long lastRequestAtMillis,
      long acknowledgedSequence,
      long acknowledgedAtMillis) {
    static final HolderState UNKNOWN = new HolderState(0, 0, Set.of(), 0, 0, 0);
  }
}
