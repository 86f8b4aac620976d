package org.lentilhinge.host;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.grant.GrantCache;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.routing.FleetView;

/**
 * Tracks the requests of this host that run on engines under its grants. An attempt whose
 * connection was lost counts as in flight for the maximum duration of a request, because the engine
 * may still be running it.
 */
final class RunningRequests {

  private record Attempt(EndpointId endpoint, AdapterVersion version) {}

  private record LostAttempt(RequestId request, EndpointId endpoint) {}

  private final GrantCache grants;
  private final FleetView fleet;
  private final long maximumRequestMillis;
  private final Map<RequestId, Attempt> running = new HashMap<>();
  private final Map<LostAttempt, AdapterVersion> lostVersions = new HashMap<>();
  private final Map<LostAttempt, Long> lostExpiresAtMillis = new HashMap<>();

  RunningRequests(GrantCache grants, FleetView fleet, long maximumRequestMillis) {
    this.grants = grants;
    this.fleet = fleet;
    this.maximumRequestMillis = maximumRequestMillis;
  }

  void onDispatched(GatewayRequest request, EndpointId endpoint, long nowMillis) {
    running.put(request.id(), new Attempt(endpoint, request.classified().version()));
    fleet.recordDispatch(endpoint, request.promptPrefix(), nowMillis);
  }

  boolean mayDispatch(RequestId request, long nowMillis) {
    Attempt attempt = running.get(request);
    return attempt != null && grants.mayDispatch(attempt.endpoint(), attempt.version(), nowMillis);
  }

  /** Ends an attempt; returns the endpoint that it ran on, if the attempt was known. */
  Optional<EndpointId> onAttemptEnded(RequestId request, AttemptResult result, long nowMillis) {
    Attempt attempt = running.remove(request);
    if (attempt == null) {
      return Optional.empty();
    }
    fleet.recordCompletion(attempt.endpoint(), nowMillis);
    if (result == AttemptResult.LOST) {
      LostAttempt lost = new LostAttempt(request, attempt.endpoint());
      lostVersions.put(lost, attempt.version());
      lostExpiresAtMillis.put(lost, nowMillis + maximumRequestMillis);
    } else {
      grants.finish(attempt.endpoint(), attempt.version(), nowMillis);
    }
    return Optional.of(attempt.endpoint());
  }

  void expire(long nowMillis) {
    Iterator<Map.Entry<LostAttempt, Long>> iterator = lostExpiresAtMillis.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<LostAttempt, Long> entry = iterator.next();
      if (entry.getValue() <= nowMillis) {
        LostAttempt lost = entry.getKey();
        grants.finish(lost.endpoint(), lostVersions.remove(lost), nowMillis);
        iterator.remove();
      }
    }
  }

  int count() {
    return running.size();
  }
}
