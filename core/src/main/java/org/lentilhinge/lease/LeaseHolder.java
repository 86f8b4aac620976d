package org.lentilhinge.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.membership.MessageSequence;

/**
 * Collects the votes of the zone's hosts for the endpoints that this host claims.
 *
 * <p>The validity of a vote is measured from the time at which its request was sent, and shortened
 * by the drift margin, so that the vote expires here before it expires at the grantor. A majority
 * of votes in each active list permits orders. A blocking minority, without which no other host can
 * have a majority, permits serving.
 */
final class LeaseHolder {

  private static final int MAXIMUM_SENT_REQUESTS = 16;

  private final HostIncarnation self;
  private final LeaseSettings settings;
  private final VoterLists lists;
  private final Map<EndpointId, Claim> claims = new TreeMap<>();
  private final Map<Long, SentRequest> sentRequests = new LinkedHashMap<>();
  private final Map<HostId, Long> confirmedDigests = new HashMap<>();
  private final Map<HostId, Long> acknowledgedSequences = new HashMap<>();
  private long sequence;

  LeaseHolder(HostIncarnation self, LeaseSettings settings, VoterLists lists) {
    this.self = self;
    this.settings = settings;
    this.lists = lists;
    this.sequence = MessageSequence.baseNumber(self);
  }

  Set<EndpointId> claimedEndpoints() {
    return claims.keySet();
  }

  /** Includes an endpoint in the following requests. */
  void claim(EndpointId endpoint) {
    claims.computeIfAbsent(endpoint, absent -> new Claim(sequence + 1));
  }

  /**
   * Ends the claim of an endpoint at once; the next request releases the endpoint at the grantors.
   */
  void removeClaim(EndpointId endpoint) {
    claims.remove(endpoint);
  }

  /** Discards all votes and claims the endpoints again. */
  void onClockJump() {
    sentRequests.clear();
    confirmedDigests.clear();
    Set<EndpointId> endpoints = Set.copyOf(claims.keySet());
    claims.clear();
    endpoints.forEach(this::claim);
  }

  /** Discards the set of endpoints that a grantor had confirmed before it restarted. */
  void onRestart(HostId grantor) {
    confirmedDigests.remove(grantor);
  }

  /** Creates the requests to send now, by grantor. */
  Map<HostId, LeaseRequest> requests(long nowMillis) {
    sequence++;
    long digest = digest(claims.keySet());
    sentRequests.put(sequence, new SentRequest(nowMillis, Set.copyOf(claims.keySet()), digest));
    if (sentRequests.size() > MAXIMUM_SENT_REQUESTS) {
      sentRequests.remove(sentRequests.keySet().iterator().next());
    }
    Map<HostId, LeaseRequest> requests = new TreeMap<>();
    for (HostId grantor : grantors(nowMillis)) {
      LeaseRequest request = request(grantor, digest, nowMillis);
      if (!claims.isEmpty() || request.full()) {
        requests.put(grantor, request);
      }
    }
    return requests;
  }

  /**
   * Handles a reply.
   *
   * @return whether to send the requests again at once
   */
  boolean onReply(LeaseReply reply, long nowMillis) {
    HostId grantor = reply.grantor().host();
    SentRequest request = sentRequests.get(reply.sequence());
    if (request == null) {
      return false;
    }
    acknowledgedSequences.merge(grantor, reply.sequence(), Math::max);
    switch (reply.status()) {
      case SET_UNKNOWN:
        return confirmedDigests.remove(grantor) != null;
      case LISTS_DIFFER:
        return lists.addFromPeer(reply.lists(), nowMillis);
      case RETIRED:
        confirmedDigests.put(grantor, request.digest());
        onRetired(reply, request, nowMillis);
        return false;
      case QUARANTINED:
      case UNHEARD:
        confirmedDigests.put(grantor, request.digest());
        return false;
      default:
        confirmedDigests.put(grantor, request.digest());
        onGranted(reply, request, nowMillis);
        return false;
    }
  }

  /** Returns the time until which this host may send orders to an endpoint. */
  long orderUntilMillis(EndpointId endpoint, long nowMillis) {
    Claim claim = claims.get(endpoint);
    if (claim == null) {
      return Long.MIN_VALUE;
    }
    if (nowMillis >= claim.orderUntilMillis) {
      // A majority in the lists that were active when the votes arrived remains valid until the
      // votes expire.
      claim.orderUntilMillis = quorumUntilMillis(claim, nowMillis, false);
    }
    return claim.orderUntilMillis;
  }

  /** Returns the time until which no other host can own an endpoint. */
  long serveUntilMillis(EndpointId endpoint, long nowMillis) {
    return Optional.ofNullable(claims.get(endpoint))
        .map(claim -> quorumUntilMillis(claim, nowMillis, true))
        .orElse(Long.MIN_VALUE);
  }

  /** Returns whether a claim is refused because of a host that may release the endpoint soon. */
  boolean hasRecentRefusal(long nowMillis) {
    for (Claim claim : claims.values()) {
      if (nowMillis >= claim.orderUntilMillis
          && claim.hasRecentRefusal(nowMillis, persistentRefusalMillis())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the hosts for which grantors have refused an endpoint to this host for longer than the
   * votes for a failed host are valid.
   */
  Set<HostId> persistentCompetitors(EndpointId endpoint, long nowMillis) {
    Set<HostId> persistent = new HashSet<>();
    Claim claim = claims.get(endpoint);
    if (claim != null) {
      for (Competitor competitor : claim.competitors.values()) {
        if (nowMillis - competitor.sinceMillis() > persistentRefusalMillis()) {
          persistent.add(competitor.host());
        }
      }
    }
    return persistent;
  }

  private long persistentRefusalMillis() {
    return settings.leaseMillis() + settings.renewalIntervalMillis();
  }

  private void onGranted(LeaseReply reply, SentRequest request, long nowMillis) {
    Map<EndpointId, HostId> refused = holdersByRefusedEndpoint(reply);
    long untilMillis = request.sentAtMillis() + settings.holderLeaseMillis();
    for (EndpointId endpoint : request.endpoints()) {
      Claim claim = claims.get(endpoint);
      if (claim != null && reply.sequence() >= claim.firstSequence) {
        HostId competitor = refused.get(endpoint);
        if (competitor == null) {
          claim.onVote(reply.grantor().host(), untilMillis);
        } else {
          claim.onRefusal(reply.grantor().host(), competitor, nowMillis);
        }
        extendOrderUntil(claim, nowMillis);
      }
    }
  }

  private void onRetired(LeaseReply reply, SentRequest request, long nowMillis) {
    Map<EndpointId, HostId> refused = holdersByRefusedEndpoint(reply);
    for (EndpointId endpoint : request.endpoints()) {
      Claim claim = claims.get(endpoint);
      if (claim != null && reply.sequence() >= claim.firstSequence) {
        HostId competitor = refused.get(endpoint);
        if (competitor == null) {
          claim.onRetired(reply.grantor().host());
        } else {
          claim.onRefusal(reply.grantor().host(), competitor, nowMillis);
        }
        extendOrderUntil(claim, nowMillis);
      }
    }
  }

  private void extendOrderUntil(Claim claim, long nowMillis) {
    long untilMillis = quorumUntilMillis(claim, nowMillis, false);
    claim.orderUntilMillis = Math.max(claim.orderUntilMillis, untilMillis);
  }

  private static Map<EndpointId, HostId> holdersByRefusedEndpoint(LeaseReply reply) {
    Map<EndpointId, HostId> refused = new HashMap<>();
    reply.refusals().forEach(refusal -> refused.put(refusal.endpoint(), refusal.holder()));
    return refused;
  }

  private long quorumUntilMillis(Claim claim, long nowMillis, boolean blocking) {
    long untilMillis = Long.MAX_VALUE;
    boolean anyList = false;
    for (List<HostId> list : lists.activeLists(nowMillis)) {
      if (!list.isEmpty()) {
        anyList = true;
        untilMillis = Math.min(untilMillis, quorumUntilMillis(claim, list, blocking));
      }
    }
    return anyList ? untilMillis : Long.MIN_VALUE;
  }

  private long quorumUntilMillis(Claim claim, List<HostId> list, boolean blocking) {
    int majority = list.size() / 2 + 1;
    int needed = blocking ? list.size() - majority + 1 : majority;
    List<Long> expiries = new ArrayList<>();
    for (HostId host : list) {
      expiries.add(claim.voteExpiries.getOrDefault(host, Long.MIN_VALUE));
      if (list.size() == 2 && claim.retiredGrantors.contains(host) && !host.equals(self.host())) {
        // In a list of two hosts, any other majority needs this host's own vote as well, so the
        // vote of a partner that no longer votes for any host is not needed.
        expiries.set(expiries.size() - 1, Long.MAX_VALUE);
      }
    }
    expiries.sort(Collections.reverseOrder());
    return expiries.get(needed - 1);
  }

  private LeaseRequest request(HostId grantor, long digest, long nowMillis) {
    boolean full = !Long.valueOf(digest).equals(confirmedDigests.get(grantor));
    List<EndpointId> endpoints = full ? List.copyOf(claims.keySet()) : List.of();
    long acknowledged = acknowledgedSequences.getOrDefault(grantor, 0L);
    return new LeaseRequest(
        self, sequence, acknowledged, lists.digests(nowMillis), digest, full, endpoints);
  }

  private Set<HostId> grantors(long nowMillis) {
    Set<HostId> grantors = new HashSet<>();
    lists.activeLists(nowMillis).forEach(grantors::addAll);
    return grantors;
  }

  private static long digest(Collection<EndpointId> endpoints) {
    long digest = endpoints.size();
    for (EndpointId endpoint : endpoints) {
      digest = RendezvousHash.mix(digest + RendezvousHash.hash(endpoint.value()));
    }
    return digest;
  }

  private record SentRequest(long sentAtMillis, Set<EndpointId> endpoints, long digest) {}

  /** The votes and refusals of the grantors for one endpoint. */
  private static final class Claim {
    private final long firstSequence;
    private final Map<HostId, Long> voteExpiries = new HashMap<>();
    private final Map<HostId, Competitor> competitors = new HashMap<>();
    private final Set<HostId> retiredGrantors = new HashSet<>();
    private long orderUntilMillis = Long.MIN_VALUE;

    Claim(long firstSequence) {
      this.firstSequence = firstSequence;
    }

    void onVote(HostId grantor, long untilMillis) {
      retiredGrantors.remove(grantor);
      competitors.remove(grantor);
      voteExpiries.merge(grantor, untilMillis, Math::max);
    }

    void onRetired(HostId grantor) {
      competitors.remove(grantor);
      retiredGrantors.add(grantor);
    }

    boolean hasRecentRefusal(long nowMillis, long recentMillis) {
      return competitors.values().stream()
          .anyMatch(competitor -> nowMillis - competitor.sinceMillis() <= recentMillis);
    }

    void onRefusal(HostId grantor, HostId competitor, long nowMillis) {
      Competitor known = competitors.get(grantor);
      if (known == null || !known.host().equals(competitor)) {
        competitors.put(grantor, new Competitor(competitor, nowMillis));
      }
    }
  }

  /**
   * Another host that a grantor has voted for, and the time since which it has refused this host.
   */
  private record Competitor(HostId host, long sinceMillis) {}
}
