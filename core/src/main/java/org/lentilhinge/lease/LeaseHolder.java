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
 * Collects the promises of the zone's hosts for the endpoints that this host wants.
 *
 * <p>A promise counts from the moment at which its request was sent, less the drift margin, so that
 * it ends here before it ends at the grantor. A majority of promises in each recent list allows
 * orders; enough promises to deny everybody else a majority allow serving.
 */
final class LeaseHolder {

  private static final int SENT_MEMORY = 16;

  private final HostIncarnation self;
  private final LeaseSettings settings;
  private final VoterLists lists;
  private final Map<EndpointId, Claim> claims = new TreeMap<>();
  private final Map<Long, Sent> sent = new LinkedHashMap<>();
  private final Map<HostId, Long> confirmedDigests = new HashMap<>();
  private final Map<HostId, Long> heardSequences = new HashMap<>();
  private long sequence;

  LeaseHolder(HostIncarnation self, LeaseSettings settings, VoterLists lists) {
    this.self = self;
    this.settings = settings;
    this.lists = lists;
    this.sequence = MessageSequence.baseNumber(self);
  }

  Set<EndpointId> wanted() {
    return claims.keySet();
  }

  /** Begins to ask for an endpoint. */
  void want(EndpointId endpoint) {
    claims.computeIfAbsent(endpoint, absent -> new Claim(sequence + 1));
  }

  /** Stops to act on an endpoint; the next request releases it. */
  void drop(EndpointId endpoint) {
    claims.remove(endpoint);
  }

  /** Forgets all promises, and asks again. */
  void onClockJump() {
    sent.clear();
    confirmedDigests.clear();
    Set<EndpointId> endpoints = Set.copyOf(claims.keySet());
    claims.clear();
    endpoints.forEach(this::want);
  }

  /** Forgets what a grantor in an earlier life had confirmed. */
  void onRestart(HostId grantor) {
    confirmedDigests.remove(grantor);
  }

  /** Returns the requests to send now, by grantor. */
  Map<HostId, LeaseRequest> requests(long nowMillis) {
    sequence++;
    long digest = digest(claims.keySet());
    sent.put(sequence, new Sent(nowMillis, Set.copyOf(claims.keySet()), digest));
    if (sent.size() > SENT_MEMORY) {
      sent.remove(sent.keySet().iterator().next());
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
   * Takes an answer in.
   *
   * @return whether to ask again at once
   */
  boolean onReply(LeaseReply reply, long nowMillis) {
    HostId grantor = reply.grantor().host();
    Sent request = sent.get(reply.sequence());
    if (request == null) {
      return false;
    }
    heardSequences.merge(grantor, reply.sequence(), Math::max);
    switch (reply.status()) {
      case SET_UNKNOWN:
        return confirmedDigests.remove(grantor) != null;
      case LISTS_DIFFER:
        return lists.adopt(reply.lists(), nowMillis);
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

  /** Returns until when this host may order for an endpoint. */
  long orderUntilMillis(EndpointId endpoint, long nowMillis) {
    Claim claim = claims.get(endpoint);
    if (claim == null) {
      return Long.MIN_VALUE;
    }
    if (nowMillis >= claim.orderUntilMillis) {
      // A majority that was won under the lists of its time holds until it expires.
      claim.orderUntilMillis = untilMillis(claim, nowMillis, false);
    }
    return claim.orderUntilMillis;
  }

  /** Returns until when nobody else can be the owner of an endpoint. */
  long serveUntilMillis(EndpointId endpoint, long nowMillis) {
    return Optional.ofNullable(claims.get(endpoint))
        .map(claim -> untilMillis(claim, nowMillis, true))
        .orElse(Long.MIN_VALUE);
  }

  /** Tells whether an endpoint is refused in favour of a host that may soon release it. */
  boolean contended(long nowMillis) {
    for (Claim claim : claims.values()) {
      if (nowMillis >= claim.orderUntilMillis && claim.refusedLately(nowMillis, lastingMillis())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the hosts in whose favour an endpoint has been refused for longer than a host that died
   * could hold it.
   */
  Set<HostId> lastingRivals(EndpointId endpoint, long nowMillis) {
    Set<HostId> lasting = new HashSet<>();
    Claim claim = claims.get(endpoint);
    if (claim != null) {
      for (Rival rival : claim.rivals.values()) {
        if (nowMillis - rival.sinceMillis() > lastingMillis()) {
          lasting.add(rival.host());
        }
      }
    }
    return lasting;
  }

  private long lastingMillis() {
    return settings.leaseMillis() + settings.renewMillis();
  }

  private void onGranted(LeaseReply reply, Sent request, long nowMillis) {
    Map<EndpointId, HostId> refused = refused(reply);
    long untilMillis = request.atMillis() + settings.holdMillis();
    for (EndpointId endpoint : request.endpoints()) {
      Claim claim = claims.get(endpoint);
      if (claim != null && reply.sequence() >= claim.sinceSequence) {
        HostId rival = refused.get(endpoint);
        if (rival == null) {
          claim.onPromise(reply.grantor().host(), untilMillis);
        } else {
          claim.onRefusal(reply.grantor().host(), rival, nowMillis);
        }
        raise(claim, nowMillis);
      }
    }
  }

  private void onRetired(LeaseReply reply, Sent request, long nowMillis) {
    Map<EndpointId, HostId> refused = refused(reply);
    for (EndpointId endpoint : request.endpoints()) {
      Claim claim = claims.get(endpoint);
      if (claim != null && reply.sequence() >= claim.sinceSequence) {
        HostId rival = refused.get(endpoint);
        if (rival == null) {
          claim.onRetired(reply.grantor().host());
        } else {
          claim.onRefusal(reply.grantor().host(), rival, nowMillis);
        }
        raise(claim, nowMillis);
      }
    }
  }

  private void raise(Claim claim, long nowMillis) {
    long untilMillis = untilMillis(claim, nowMillis, false);
    claim.orderUntilMillis = Math.max(claim.orderUntilMillis, untilMillis);
  }

  private static Map<EndpointId, HostId> refused(LeaseReply reply) {
    Map<EndpointId, HostId> refused = new HashMap<>();
    reply.refusals().forEach(refusal -> refused.put(refusal.endpoint(), refusal.heldBy()));
    return refused;
  }

  private long untilMillis(Claim claim, long nowMillis, boolean blocking) {
    long until = Long.MAX_VALUE;
    boolean any = false;
    for (List<HostId> list : lists.lists(nowMillis)) {
      if (!list.isEmpty()) {
        any = true;
        until = Math.min(until, untilMillis(claim, list, blocking));
      }
    }
    return any ? until : Long.MIN_VALUE;
  }

  private long untilMillis(Claim claim, List<HostId> list, boolean blocking) {
    int majority = list.size() / 2 + 1;
    int needed = blocking ? list.size() - majority + 1 : majority;
    List<Long> promises = new ArrayList<>();
    for (HostId host : list) {
      promises.add(claim.promised.getOrDefault(host, Long.MIN_VALUE));
      if (list.size() == 2 && claim.retired.contains(host) && !host.equals(self.host())) {
        // In a list of two, any other majority needs this host's own promise as well, so a partner
        // that promises nothing to anybody any more is not needed.
        promises.set(promises.size() - 1, Long.MAX_VALUE);
      }
    }
    promises.sort(Collections.reverseOrder());
    return promises.get(needed - 1);
  }

  private LeaseRequest request(HostId grantor, long digest, long nowMillis) {
    boolean full = !Long.valueOf(digest).equals(confirmedDigests.get(grantor));
    List<EndpointId> endpoints = full ? List.copyOf(claims.keySet()) : List.of();
    long heard = heardSequences.getOrDefault(grantor, 0L);
    return new LeaseRequest(
        self, sequence, heard, lists.digests(nowMillis), digest, full, endpoints);
  }

  private Set<HostId> grantors(long nowMillis) {
    Set<HostId> grantors = new HashSet<>();
    lists.lists(nowMillis).forEach(grantors::addAll);
    return grantors;
  }

  private static long digest(Collection<EndpointId> endpoints) {
    long digest = endpoints.size();
    for (EndpointId endpoint : endpoints) {
      digest = RendezvousHash.mix(digest + RendezvousHash.hash(endpoint.value()));
    }
    return digest;
  }

  private record Sent(long atMillis, Set<EndpointId> endpoints, long digest) {}

  /** What the grantors have answered for one endpoint. */
  private static final class Claim {
    private final long sinceSequence;
    private final Map<HostId, Long> promised = new HashMap<>();
    private final Map<HostId, Rival> rivals = new HashMap<>();
    private final Set<HostId> retired = new HashSet<>();
    private long orderUntilMillis = Long.MIN_VALUE;

    Claim(long sinceSequence) {
      this.sinceSequence = sinceSequence;
    }

    void onPromise(HostId grantor, long untilMillis) {
      retired.remove(grantor);
      rivals.remove(grantor);
      promised.merge(grantor, untilMillis, Math::max);
    }

    void onRetired(HostId grantor) {
      rivals.remove(grantor);
      retired.add(grantor);
    }

    boolean refusedLately(long nowMillis, long lastingMillis) {
      return rivals.values().stream()
          .anyMatch(rival -> nowMillis - rival.sinceMillis() <= lastingMillis);
    }

    void onRefusal(HostId grantor, HostId rival, long nowMillis) {
      Rival known = rivals.get(grantor);
      if (known == null || !known.host().equals(rival)) {
        rivals.put(grantor, new Rival(rival, nowMillis));
      }
    }
  }

  /** A host to which a grantor has promised an endpoint, and since when it refuses it here. */
  private record Rival(HostId host, long sinceMillis) {}
}
