package org.lentilhinge.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lentilhinge.identity.HostId;

/**
 * Selects the source from which each missing part is requested: a peer, or the platform's service
 * if no peer has the version. A request that times out is sent again, to a newly selected source.
 */
final class PartFetcher {

  private static final int MAXIMUM_IN_FLIGHT = 64;
  private static final long PEER_TIMEOUT_MILLIS = 2_000;
  private static final long SERVICE_TIMEOUT_MILLIS = 10_000;

  private final RandomGenerator random;
  private final Backoff serviceBackoff;
  private final Map<PartDigest, Request> requests = new HashMap<>();
  private long serviceRetryAtMillis;

  PartFetcher(RandomGenerator random) {
    this.random = random;
    this.serviceBackoff = new Backoff(random);
  }

  /**
   * Requests the missing parts for which no request is in flight.
   *
   * @param missing the missing parts
   * @param sources the peers that have all missing parts; one of them is chosen at random
   * @param limiter the rate limiter of calls to the service, or empty if this host does not read it
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands that send the requests
   */
  List<FollowCommand> fetch(
      Set<PartDigest> missing,
      List<HostId> sources,
      Optional<CallRateLimiter> limiter,
      long nowMillis) {
    Map<HostId, List<PartDigest>> digestsByPeer = new LinkedHashMap<>();
    List<FollowCommand> commands = new ArrayList<>();
    for (PartDigest digest : missing) {
      if (requests.size() >= MAXIMUM_IN_FLIGHT) {
        break;
      }
      if (requests.containsKey(digest)) {
        continue;
      }
      if (!sources.isEmpty()) {
        HostId source = sources.get(random.nextInt(sources.size()));
        requests.put(digest, new Request(Optional.of(source), nowMillis + PEER_TIMEOUT_MILLIS));
        digestsByPeer.computeIfAbsent(source, absent -> new ArrayList<>()).add(digest);
      } else if (mayReadService(limiter, nowMillis)) {
        requests.put(digest, new Request(Optional.empty(), nowMillis + SERVICE_TIMEOUT_MILLIS));
        commands.add(new FollowCommand.ReadPart(digest));
      }
    }
    digestsByPeer.forEach(
        (peer, digests) -> commands.add(new FollowCommand.Send(peer, new PartsRequest(digests))));
    return commands;
  }

  private boolean mayReadService(Optional<CallRateLimiter> limiter, long nowMillis) {
    return nowMillis >= serviceRetryAtMillis
        && limiter.isPresent()
        && limiter.get().tryAcquire(nowMillis);
  }

  /** Records that a part has been received. */
  void onPartReceived(PartDigest digest) {
    requests.remove(digest);
    serviceBackoff.reset();
  }

  /** Records that the service did not return a part, and backs off before the next call to it. */
  void onServiceFailure(PartDigest digest, long nowMillis) {
    requests.remove(digest);
    serviceRetryAtMillis = nowMillis + serviceBackoff.nextDelayMillis();
  }

  /** Records that a peer does not have a part that was requested from it. */
  void onPeerFailure(PartDigest digest, HostId peer) {
    Request request = requests.get(digest);
    if (request != null && request.peer().equals(Optional.of(peer))) {
      requests.remove(digest);
    }
  }

  /**
   * Cancels the requests without a response before their deadline.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the peers that did not respond
   */
  List<HostId> expire(long nowMillis) {
    List<HostId> unresponsive = new ArrayList<>();
    for (Iterator<Request> iterator = requests.values().iterator(); iterator.hasNext(); ) {
      Request request = iterator.next();
      if (nowMillis >= request.deadlineAtMillis()) {
        iterator.remove();
        request.peer().ifPresent(unresponsive::add);
      }
    }
    return unresponsive;
  }

  /** Discards all requests when the assembly of their version has ended. */
  void clear() {
    requests.clear();
  }

  private record Request(Optional<HostId> peer, long deadlineAtMillis) {}
}
